#include "http/internal/wholeresponsecall.h"

#include "http/ihttpclient.h"
#include "http/types/httprequest.h"

#include <iterator>

namespace lavendertally::http {

WholeResponseCall::WholeResponseCall(IHttpClient &client, const HttpRequest &request,
                                     std::function<void(HttpResponse)> callback)
    : m_maxBody(request.maxResponseBody), m_isOwnResponse(request.isOwnResponse),
      m_callback(std::move(callback)), m_call(client.send(request, *this))
{ }

void WholeResponseCall::onData(int /*status*/, std::string_view data)
{
    m_response.body.append(data);
    if (std::ssize(m_response.body) > m_maxBody.value()) {
        m_response.body.clear();
        m_call.reset();
        onEnd(HttpEnd::Broken, 0);
    }
}

bool WholeResponseCall::onHead(const HttpResponseHead &head)
{
    m_response.status = head.status;
    m_response.headers = head.headers;
    return true;
}

bool WholeResponseCall::isOwnResponse()
{
    m_response.end = HttpEnd::Complete;
    return !m_isOwnResponse || m_isOwnResponse(m_response);
}

void WholeResponseCall::onEnd(HttpEnd end, int status)
{
    m_response.end = end;
    m_response.status = status;
    // The callback may destroy this object.
    const std::function<void(HttpResponse)> callback = std::move(m_callback);
    callback(std::move(m_response));
}

} // namespace lavendertally::http
