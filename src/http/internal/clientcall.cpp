#include "http/internal/clientcall.h"

#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/headerlookup.h"
#include "http/ihttpresponseobserver.h"
#include "http/internal/clientconnection.h"
#include "http/internal/pooledhttpclient.h"
#include "http/types/httprequest.h"

#include <string>

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
    : m_observer(observer), m_connection(&client.acquire(request.endpoint, request.maxIdleBefore)),
      m_timeout(client.loop().callAfter(request.timeout, [this] { timeOut(); }))
{
    const std::string method = methodName(request);
    m_connection->begin(*this, serialize(request, method), method == "HEAD");
}

ClientCall::~ClientCall()
{
    if (m_connection != nullptr) {
        m_connection->cancel();
    }
}

bool ClientCall::hasSent() const
{
    // Without a connection the end has been reported, and the caller goes by that.
    return m_connection == nullptr || m_connection->hasSent();
}

void ClientCall::pauseReading()
{
    if (m_connection != nullptr) {
        m_connection->pause();
    }
}

void ClientCall::resumeReading()
{
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

void ClientCall::end(bool complete, bool sent)
{
    m_connection = nullptr;
    if (complete) {
        report(HttpEnd::Complete);
        return;
    }
    report(sent ? HttpEnd::Broken : HttpEnd::NotSent);
}

void ClientCall::timeOut()
{
    const bool sent = m_connection->hasSent();
    m_connection->cancel();
    m_connection = nullptr;
    report(sent ? HttpEnd::TimedOut : HttpEnd::NotSent);
}

void ClientCall::report(HttpEnd end)
{
    m_timeout.reset();
    m_observer.onEnd(end, end == HttpEnd::Complete ? m_status : 0);
}

} // namespace lavendertally::http
