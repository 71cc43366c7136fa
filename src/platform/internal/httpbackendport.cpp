#include "platform/internal/httpbackendport.h"

#include "connections/iconnectionshares.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"
#include "platform/internal/httpbackendcall.h"
#include "platform/internal/wirenames.h"
#include "proxy/types/backendrequest.h"
#include "proxy/types/clientrequest.h"

#include <string>
#include <utility>

namespace lavendertally::platform {

namespace {

/// Some backend servers close idle connections without stating when; for a request that may run
/// once, a connection must have been used within this time.
constexpr framework::Milliseconds MaxIdleBeforeOnce{500};

/// No connection has been idle for so short a time.
constexpr framework::Milliseconds NeverIdle{-1};

/// A server that limits its connections accepts one over the limit and resets it at its next turn.
/// A request that may run once is written after that, so that a reset leaves no doubt.
constexpr framework::Milliseconds AcceptanceWait{5};

/// Time in which a running process accepts a connection, with margin.
constexpr framework::Milliseconds ProbeTimeout{300};

/// Holds the probe of a backend server.
class ProbeCall final : public proxy::IBackendCall
{
public:
    explicit ProbeCall(std::unique_ptr<http::IHttpCall> probe) : m_probe(std::move(probe)) { }

private:
    std::unique_ptr<http::IHttpCall> m_probe;
};

std::string joinIds(const std::vector<framework::StageResultId> &ids)
{
    std::string text;
    for (const framework::StageResultId &id : ids) {
        text += (text.empty() ? "" : ",") + id.value();
    }
    return text;
}

http::HttpMethod methodOf(const std::string &name)
{
    if (name == "GET") {
        return http::HttpMethod::Get;
    }
    return name == "POST" ? http::HttpMethod::Post : http::HttpMethod::Other;
}

void addOwnHeaders(const proxy::BackendRequest &request, http::HttpHeaders &headers)
{
    const auto add = [&headers](std::string_view name, std::string value) {
        headers.emplace_back(std::string(name), std::move(value));
    };
    add(wire::DeadlineMs, std::to_string(request.timeLeft.value()));
    add(wire::ExpectInstance, request.server.id.value());
    if (!request.team.isEmpty()) {
        add(wire::Tenant, request.team.value());
    }
    if (request.inputs) {
        add(wire::Inputs, joinIds(*request.inputs));
    }
    if (request.resumeAfter) {
        add(wire::LastEventId, std::to_string(request.resumeAfter->value()));
    }
}

} // namespace

HttpBackendPort::HttpBackendPort(http::IHttpClient &client,
                                 membership::IBackendServerUpdates &servers,
                                 connections::IConnectionShares &connections)
    : m_client(client), m_servers(servers), m_connections(connections)
{ }

std::unique_ptr<proxy::IBackendCall>
HttpBackendPort::send(const proxy::BackendRequest &request,
                      proxy::IBackendResponseObserver &observer)
{
    const proxy::ClientRequest &client = *request.request;
    m_connections.noteServer(request.server);
    http::HttpRequest sent;
    sent.endpoint = request.server.endpoint;
    sent.method = methodOf(client.method);
    sent.methodName = client.method;
    sent.target = client.target;
    sent.headers = client.headers;
    addOwnHeaders(request, sent.headers);
    sent.body = client.body;
    sent.timeout = request.timeLeft;
    if (request.needsNewConnection) {
        sent.maxIdleBefore = NeverIdle;
    } else if (request.atMostOnce) {
        sent.maxIdleBefore = MaxIdleBeforeOnce;
    }
    if (request.atMostOnce && m_connections.isLimited(request.server)) {
        sent.acceptanceWait = AcceptanceWait;
    }
    return std::make_unique<HttpBackendCall>(m_client, sent, client.id, request.server.lifetime(),
                                             m_servers, observer);
}

std::unique_ptr<proxy::IBackendCall>
HttpBackendPort::probe(const membership::BackendServerEntry &server,
                       std::function<void(http::ProbeResult)> callback)
{
    m_connections.noteServer(server);
    return std::make_unique<ProbeCall>(
        m_client.probe(server.endpoint, ProbeTimeout, std::move(callback)));
}

} // namespace lavendertally::platform
