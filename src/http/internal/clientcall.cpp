#include "http/internal/clientcall.h"

#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/headerlookup.h"
#include "http/ihttpresponseobserver.h"
#include "http/internal/clientconnection.h"
#include "http/internal/pooledhttpclient.h"
#include "http/types/httprequest.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lavendertally::http {

namespace {

std::string methodName(const HttpRequest &request)
{
    switch (request.method) {
    case HttpMethod::Get:
        return "GET";
    case HttpMethod::Post:
        return "POST";
    case HttpMethod::Delete:
        return "DELETE";
    case HttpMethod::Other:
        break;
    }
    return request.methodName;
}

std::string serialize(const HttpRequest &request, const std::string &method)
{
    std::string text = method + ' ' + request.target + " HTTP/1.1\r\n";
    if (!findHeader(request.headers, "Host")) {
        text.append("Host: ").append(request.endpoint.toString()).append("\r\n");
    }
    for (const auto &[name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!request.body.empty() || method == "POST" || method == "PUT") {
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    return text.append("\r\n").append(request.body);
}

} // namespace

ClientCall::ClientCall(PooledHttpClient &client, const HttpRequest &request,
                       IHttpResponseObserver &observer)
    : m_client(client), m_observer(observer), m_endpoint(request.endpoint),
      m_maxIdleBefore(request.maxIdleBefore), m_acceptanceWait(request.acceptanceWait),
      m_isBodiless(methodName(request) == "HEAD"),
      m_request(serialize(request, methodName(request))),
      m_timeout(client.loop().callAfter(request.timeout, [this] { timeOut(); }))
{
    const bool isAccepted = client.acquire(*this);
    if (m_connection == nullptr) {
        // The observer is never called from within the constructor.
        // Half of the time is left for a call to another server.
        const framework::Milliseconds longest =
            std::min(client.options().maxConnectionWait,
                     framework::Milliseconds(request.timeout.value() / 2));
        const framework::Milliseconds wait = isAccepted ? longest : framework::Milliseconds(0);
        m_waitTimer = client.loop().callAfter(wait, [this] { endWithoutConnection(); });
    }
}

ClientCall::~ClientCall()
{
    m_client.stopWaiting(*this);
    if (m_connection != nullptr) {
        m_connection->cancel();
    }
}

void ClientCall::begin(ClientConnection &connection)
{
    m_waitTimer.reset();
    m_connection = &connection;
    connection.begin(*this, std::move(m_request), m_isBodiless, m_acceptanceWait);
    if (m_isPaused) {
        connection.pause();
    }
}

void ClientCall::endWithoutConnection()
{
    m_client.stopWaiting(*this);
    report(HttpEnd::NoConnection);
}

bool ClientCall::hasSent() const
{
    // After the end that was reported, the caller goes by that.
    return m_hasEnded || (m_connection != nullptr && m_connection->hasSent());
}

void ClientCall::pauseReading()
{
    m_isPaused = true;
    if (m_connection != nullptr) {
        m_connection->pause();
    }
}

void ClientCall::resumeReading()
{
    m_isPaused = false;
    if (m_connection != nullptr) {
        m_connection->resume();
    }
}

void ClientCall::head(const HttpResponseHead &head)
{
    m_status = head.status;
    if (!m_observer.onHead(head)) {
        m_skips = true;
    }
}

void ClientCall::data(std::string_view data)
{
    if (!m_skips) {
        m_observer.onData(m_status, data);
    }
}

void ClientCall::serverClosing()
{
    m_observer.onServerClosing();
}

bool ClientCall::isOwnResponse()
{
    return m_observer.isOwnResponse();
}

void ClientCall::end(HttpEnd end)
{
    m_connection = nullptr;
    report(end);
}

void ClientCall::timeOut()
{
    if (m_connection == nullptr) {
        endWithoutConnection();
        return;
    }
    const bool sent = m_connection->hasSent();
    m_connection->cancel();
    m_connection = nullptr;
    report(sent ? HttpEnd::TimedOut : HttpEnd::NotSent);
}

void ClientCall::report(HttpEnd end)
{
    m_hasEnded = true;
    m_timeout.reset();
    m_waitTimer.reset();
    m_observer.onEnd(end, end == HttpEnd::Complete ? m_status : 0);
}

} // namespace lavendertally::http
