#include "backends/internal/httpbackendcall.h"

#include "backends/ibackendobserver.h"
#include "backends/internal/iresponsereader.h"
#include "framework/types/errorcontext.h"
#include "http/decimalfield.h"
#include "http/headerlookup.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"

namespace lavendertally::backends {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpServiceUnavailable = 503;
constexpr std::size_t MaxErrorDetailBytes = 200;

/// Several times the largest answer of an engine.
constexpr std::size_t MaxAnswerBytes = 1024 * 1024;

/// Requests per second that a backend server takes.
constexpr std::string_view RateLimitField = "Server-Limit";

} // namespace

HttpBackendCall::HttpBackendCall(http::IHttpClient &client, const http::HttpRequest &request,
                                 std::unique_ptr<IResponseReader> reader,
                                 IBackendObserver &observer)
    : m_reader(std::move(reader)), m_observer(observer), m_call(client.send(request, *this))
{ }

HttpBackendCall::~HttpBackendCall() = default;

void HttpBackendCall::pauseReading()
{
    m_call->pauseReading();
}

void HttpBackendCall::resumeReading()
{
    m_call->resumeReading();
}

bool HttpBackendCall::onHead(const http::HttpResponseHead &head)
{
    m_status = head.status;
    const auto rate = http::findHeader(head.headers, RateLimitField);
    m_observer.onAnswerHead(rate ? http::parseRequestRate(*rate) : std::nullopt);
    return true;
}

void HttpBackendCall::onData(int status, std::string_view data)
{
    if (status != HttpOk) {
        m_errorBody.append(data.substr(0, MaxErrorDetailBytes - m_errorBody.size()));
        return;
    }
    m_reader->append(data, m_observer);
    if (m_reader->heldBytes() > MaxAnswerBytes) {
        // Closes the connection; such an answer may never end.
        m_call.reset();
        m_observer.onFailed(BackendError::Unknown, "backend server's answer is too large");
    }
}

/// A refusal or an error may be a copy of an earlier one; nothing in it names the call.
bool HttpBackendCall::isOwnResponse()
{
    return m_status == HttpOk;
}

void HttpBackendCall::onEnd(http::HttpEnd end, int status)
{
    switch (end) {
    case http::HttpEnd::NotSent:
    case http::HttpEnd::NoConnection:
    case http::HttpEnd::Rejected:
        m_observer.onFailed(BackendError::NotRun, "no connection to the backend server");
        return;
    case http::HttpEnd::RejectedAfterSend:
    case http::HttpEnd::Broken:
        m_observer.onFailed(BackendError::Unknown, "connection to the backend server broke");
        return;
    case http::HttpEnd::Malformed:
        m_observer.onFailed(BackendError::Unknown, "backend server sent no HTTP response");
        return;
    case http::HttpEnd::TimedOut:
        m_observer.onFailed(BackendError::Unknown, "backend server did not answer in time");
        return;
    case http::HttpEnd::Complete:
        break;
    }
    if (status == HttpOk) {
        finishResponse();
        return;
    }
    const BackendError error =
        status == HttpServiceUnavailable ? BackendError::NotRun : BackendError::Unknown;
    m_observer.onFailed(error,
                        "backend server answered " + std::to_string(status) + ": " + m_errorBody);
}

void HttpBackendCall::finishResponse()
{
    framework::leaf::try_handle_all(
        [this]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(result, m_reader->finish());
            m_observer.onDone(result);
            return {};
        },
        [this](BackendError error, const framework::ErrorContext &context) {
            m_observer.onFailed(error, context.message);
        },
        [this] { m_observer.onFailed(BackendError::Unknown, "answer is malformed"); });
}

} // namespace lavendertally::backends
