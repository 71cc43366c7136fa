#include "operatortool/internal/httpoperatorclient.h"

#include "configuration/configurationmodule.h"
#include "configuration/icontrolrecordcodec.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"
#include "operatortool/internal/operatorresponses.h"

#include <algorithm>
#include <utility>

namespace lavendertally::operatortool {

namespace {

/// Time left to the entry to answer that the outcome is unknown before the connection is given up.
constexpr framework::Milliseconds AnswerMargin{200};
constexpr framework::Milliseconds MinServerTimeout{1};
constexpr framework::Milliseconds MaxServerTimeout{60000};

framework::Milliseconds serverTimeout(framework::Milliseconds timeout)
{
    return std::clamp(timeout - AnswerMargin, MinServerTimeout, MaxServerTimeout);
}

} // namespace

HttpOperatorClient::HttpOperatorClient(http::IHttpClient &client, const framework::Endpoint &entry)
    : m_client(client), m_entry(entry),
      m_codec(configuration::ConfigurationModule::makeRecordCodec())
{ }

HttpOperatorClient::~HttpOperatorClient() = default;

void HttpOperatorClient::readRevision(
    framework::Milliseconds timeout,
    std::function<void(framework::Result<framework::LogOffset>)> callback)
{
    get(m_entry, "/v1/operator/revision", timeout,
        [callback = std::move(callback)](const http::HttpResponse &response) {
            callback(readRevisionBody(response));
        });
}

void HttpOperatorClient::submit(const configuration::OperatorChange &change,
                                framework::Milliseconds timeout,
                                std::function<void(ChangeOutcome)> callback)
{
    const auto body = m_codec->encode(change);
    if (!body) {
        callback({ChangeStatus::Refused, {}, "a file is not text in UTF-8", {}});
        return;
    }
    http::HttpRequest request;
    request.endpoint = m_entry;
    request.method = http::HttpMethod::Post;
    request.target =
        "/v1/operator/changes?timeout_ms=" + std::to_string(serverTimeout(timeout).value());
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body.value();
    request.timeout = timeout;
    send(request, [callback = std::move(callback)](const http::HttpResponse &response) {
        callback(readOutcome(response));
    });
}

void HttpOperatorClient::readStatus(framework::Milliseconds timeout,
                                    std::function<void(framework::Result<std::string>)> callback)
{
    get(m_entry, "/v1/operator/status", timeout,
        [callback = std::move(callback)](const http::HttpResponse &response) {
            callback(readJsonBody(response));
        });
}

void HttpOperatorClient::readDump(const framework::Endpoint &daemon,
                                  framework::Milliseconds timeout,
                                  std::function<void(framework::Result<std::string>)> callback)
{
    get(daemon, "/dump", timeout,
        [callback = std::move(callback)](const http::HttpResponse &response) {
            callback(readJsonBody(response));
        });
}

void HttpOperatorClient::readConfiguration(
    const framework::Endpoint &gateway, framework::Milliseconds timeout,
    std::function<void(framework::Result<std::string>)> callback)
{
    get(gateway, "/configuration", timeout,
        [callback = std::move(callback)](const http::HttpResponse &response) {
            callback(readJsonBody(response));
        });
}

void HttpOperatorClient::get(const framework::Endpoint &endpoint, const std::string &target,
                             framework::Milliseconds timeout,
                             std::function<void(http::HttpResponse)> callback)
{
    http::HttpRequest request;
    request.endpoint = endpoint;
    request.target = target;
    request.timeout = timeout;
    send(request, std::move(callback));
}

void HttpOperatorClient::send(const http::HttpRequest &request,
                              std::function<void(http::HttpResponse)> callback)
{
    m_call = m_client.fetch(request, std::move(callback));
}

} // namespace lavendertally::operatortool
