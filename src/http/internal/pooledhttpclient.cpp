#include "http/internal/pooledhttpclient.h"

#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/internal/clientcall.h"
#include "http/internal/clientconnection.h"
#include "http/internal/endpointprobe.h"
#include "http/internal/wholeresponsecall.h"
#include "http/types/httprequest.h"

#include <algorithm>
#include <utility>

namespace lavendertally::http {

namespace {

/// Kept back from the idle time that a server states, for what is on its way in the network.
constexpr framework::Milliseconds KeepAliveMargin{500};

} // namespace

PooledHttpClient::PooledHttpClient(framework::IEventLoop &loop, const HttpClientOptions &options)
    : m_loop(loop), m_options(options), m_clock(framework::FrameworkModule::makeSystemClock())
{ }

PooledHttpClient::~PooledHttpClient() = default;

std::unique_ptr<IHttpCall> PooledHttpClient::send(const HttpRequest &request,
                                                  IHttpResponseObserver &observer)
{
    return std::make_unique<ClientCall>(*this, request, observer);
}

std::unique_ptr<IHttpCall> PooledHttpClient::fetch(const HttpRequest &request,
                                                   std::function<void(HttpResponse)> callback)
{
    return std::make_unique<WholeResponseCall>(*this, request, std::move(callback));
}

void PooledHttpClient::closeIdle(const framework::Endpoint &endpoint)
{
    const auto idle = m_idle.find(endpoint);
    if (idle == m_idle.end()) {
        return;
    }
    // Closing a connection removes it from the list.
    const std::vector<ClientConnection *> connections = idle->second;
    for (ClientConnection *connection : connections) {
        connection->close();
    }
}

std::unique_ptr<IHttpCall> PooledHttpClient::probe(const framework::Endpoint &endpoint,
                                                   framework::Milliseconds timeout,
                                                   std::function<void(ProbeResult)> callback)
{
    return std::make_unique<EndpointProbe>(m_loop, endpoint, timeout, std::move(callback));
}

ClientConnection &PooledHttpClient::acquire(const framework::Endpoint &endpoint,
                                            framework::Milliseconds maxIdle)
{
    const auto idle = m_idle.find(endpoint);
    if (idle != m_idle.end() && !idle->second.empty()) {
        ClientConnection *connection = idle->second.back();
        if (m_clock->now() - connection->idleSince() <= maxIdle) {
            idle->second.pop_back();
            --m_idleCount;
            return *connection;
        }
    }
    auto connection = std::make_unique<ClientConnection>(*this, endpoint);
    ClientConnection *address = connection.get();
    m_connections.emplace(address, std::move(connection));
    return *address;
}

void PooledHttpClient::release(ClientConnection &connection,
                               std::optional<framework::Milliseconds> stated)
{
    auto &idle = m_idle[connection.endpoint()];
    framework::Milliseconds keepFor = m_options.maxIdle;
    if (stated) {
        keepFor = std::min(keepFor, *stated - KeepAliveMargin);
    }
    if (idle.size() >= m_options.maxIdlePerEndpoint || m_idleCount >= m_options.maxIdleConnections
        || keepFor <= framework::Milliseconds(0)) {
        connection.close();
        return;
    }
    idle.push_back(&connection);
    ++m_idleCount;
    connection.becomeIdle(m_clock->now(), keepFor);
}

void PooledHttpClient::removeIdle(ClientConnection &connection)
{
    const auto idle = m_idle.find(connection.endpoint());
    if (idle == m_idle.end()) {
        return;
    }
    m_idleCount -= std::erase(idle->second, &connection);
    if (idle->second.empty()) {
        m_idle.erase(idle);
    }
}

void PooledHttpClient::discard(ClientConnection &connection)
{
    auto node = m_connections.extract(&connection);
    if (node.empty()) {
        return;
    }
    removeIdle(connection);
    m_discarded.push_back(std::move(node.mapped()));
    if (m_discarded.size() > 1) {
        // A timer that is set anew with each connection would not fire while many end.
        return;
    }
    m_discardTimer = m_loop.callAfter(framework::Milliseconds(0),
                                      [this] { const auto gone = std::exchange(m_discarded, {}); });
}

} // namespace lavendertally::http
