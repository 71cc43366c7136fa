#include "platform/internal/httpbackendcall.h"

#include "http/headerlookup.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"
#include "membership/ibackendserverupdates.h"
#include "platform/internal/answercodec.h"
#include "platform/internal/wirenames.h"
#include "proxy/ibackendresponseobserver.h"

#include <utility>

namespace lavendertally::platform {

namespace {

proxy::BackendCallEnd incompleteEnd(http::HttpEnd end)
{
    switch (end) {
    case http::HttpEnd::NotSent:
        return proxy::BackendCallEnd::NotSent;
    case http::HttpEnd::NoConnection:
        return proxy::BackendCallEnd::NoConnection;
    case http::HttpEnd::Rejected:
        return proxy::BackendCallEnd::Rejected;
    case http::HttpEnd::RejectedAfterSend:
        return proxy::BackendCallEnd::RejectedAfterSend;
    case http::HttpEnd::Malformed:
        return proxy::BackendCallEnd::Malformed;
    case http::HttpEnd::Complete:
    case http::HttpEnd::Broken:
    case http::HttpEnd::TimedOut:
        break;
    }
    return proxy::BackendCallEnd::Broken;
}

} // namespace

HttpBackendCall::HttpBackendCall(http::IHttpClient &client, const http::HttpRequest &request,
                                 framework::RequestId id, membership::ServerLifetime server,
                                 membership::IBackendServerUpdates &servers,
                                 proxy::IBackendResponseObserver &observer)
    : m_id(std::move(id)), m_server(std::move(server)), m_servers(servers), m_observer(observer),
      m_call(client.send(request, *this))
{ }

HttpBackendCall::~HttpBackendCall()
{
    if (m_destroyed != nullptr) {
        *m_destroyed = true;
    }
}

bool HttpBackendCall::onHead(const http::HttpResponseHead &head)
{
    // A backend server may send a second answer to an earlier request where this one's is due.
    const auto echoed = http::findHeader(head.headers, wire::RequestId);
    if (echoed && *echoed != m_id.value()) {
        return false;
    }
    proxy::ResponseHead answer = decodeAnswerHead(head);
    if (!echoed) {
        // Without the id nothing shows whose answer this is; it may be a copy of an earlier
        // refusal.
        answer.isSigned = false;
        answer.notExecuted = false;
        answer.retryAfter.reset();
    }
    if (echoed && saysItLeaves(head.headers)) {
        m_servers.noteLeaving(m_server);
    }
    m_isStream = answer.isEventStream;
    m_observer.onHead(answer);
    return true;
}

void HttpBackendCall::onData(int /*status*/, std::string_view data)
{
    if (!m_isStream) {
        m_observer.onBody(data);
        return;
    }
    bool destroyed = false;
    m_destroyed = &destroyed;
    m_events.append(data);
    while (const auto event = m_events.next()) {
        if (m_events.isWithoutEvents()) {
            break;
        }
        m_observer.onEvent(*event);
        if (destroyed) {
            return;
        }
    }
    m_destroyed = nullptr;
    if (m_events.isWithoutEvents() || m_events.isEventTooLong()) {
        // The observer destroys this call, which closes the connection.
        m_observer.onEnd(proxy::BackendCallEnd::Malformed);
    }
}

bool HttpBackendCall::hasSent() const
{
    return m_call->hasSent();
}

void HttpBackendCall::pauseReading()
{
    m_call->pauseReading();
}

void HttpBackendCall::resumeReading()
{
    m_call->resumeReading();
}

void HttpBackendCall::onServerClosing()
{
    m_observer.onServerClosing();
}

void HttpBackendCall::onEnd(http::HttpEnd end, int /*status*/)
{
    const bool whole = end == http::HttpEnd::Complete && !m_events.hasPartialEvent();
    m_observer.onEnd(whole ? proxy::BackendCallEnd::Complete : incompleteEnd(end));
}

} // namespace lavendertally::platform
