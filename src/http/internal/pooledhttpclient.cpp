#include "http/internal/pooledhttpclient.h"

#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/iconnectiongate.h"
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

/// Bounds what is kept of servers that have gone.
constexpr std::size_t MaxFreshTimes = 4096;

} // namespace

PooledHttpClient::PooledHttpClient(framework::IEventLoop &loop, const HttpClientOptions &options)
    : m_loop(loop), m_options(options), m_clock(framework::FrameworkModule::makeSystemClock())
{
    if (gate() != nullptr) {
        gate()->setWaitListener(
            [this](const framework::Endpoint &endpoint) { serveWaiting(endpoint); });
    }
}

PooledHttpClient::~PooledHttpClient()
{
    if (gate() != nullptr) {
        gate()->setWaitListener([](const framework::Endpoint & /*endpoint*/) {});
    }
}

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

std::unique_ptr<IHttpCall> PooledHttpClient::probe(const framework::Endpoint &endpoint,
                                                   framework::Milliseconds timeout,
                                                   std::function<void(ProbeResult)> callback)
{
    return std::make_unique<EndpointProbe>(m_loop, gate(), endpoint, timeout, std::move(callback));
}

framework::TimePoint PooledHttpClient::now() const
{
    return m_clock->now();
}

bool PooledHttpClient::acquire(ClientCall &call)
{
    const framework::Endpoint &endpoint = call.endpoint();
    const framework::Milliseconds fresh = call.maxIdleBefore();
    if (gate() != nullptr && fresh > framework::Milliseconds(0) && fresh < m_options.maxIdle) {
        if (m_freshTimes.size() >= MaxFreshTimes) {
            // Servers that have gone; the others are learned anew.
            m_freshTimes.clear();
        }
        m_freshTimes[endpoint] = fresh;
    }
    // A connection that has just become free belongs to the call that has waited longest.
    const bool isFirst = m_waiting.front(endpoint) == nullptr;
    if (isFirst) {
        if (ClientConnection *connection = take(endpoint, call.maxIdleBefore())) {
            call.begin(*connection);
            return true;
        }
    }
    if (!gate()->mayWait(endpoint)) {
        return false;
    }
    m_waiting.add(endpoint, call);
    gate()->waitStarted(endpoint);
    if (isFirst) {
        makeRoom(call);
    }
    return true;
}

void PooledHttpClient::makeRoom(ClientCall &call)
{
    const auto idle = m_idle.find(call.endpoint());
    // The server may take a moment to see the close; no second one is closed meanwhile.
    if (idle != m_idle.end() && m_waiting.noteRoomMade(call.endpoint())) {
        idle->second.front()->close();
    }
}

void PooledHttpClient::stopWaiting(ClientCall &call)
{
    if (m_waiting.remove(call.endpoint(), call)) {
        gate()->waitEnded(call.endpoint(), false);
    }
}

void PooledHttpClient::serveWaiting(const framework::Endpoint &endpoint)
{
    while (ClientCall *call = m_waiting.front(endpoint)) {
        ClientConnection *connection = take(endpoint, call->maxIdleBefore());
        if (connection == nullptr) {
            makeRoom(*call);
            return;
        }
        m_waiting.remove(endpoint, *call);
        gate()->waitEnded(endpoint, true);
        call->begin(*connection);
    }
}

ClientConnection *PooledHttpClient::take(const framework::Endpoint &endpoint,
                                         framework::Milliseconds maxIdle)
{
    if (ClientConnection *idle = takeIdle(endpoint, maxIdle)) {
        return idle;
    }
    if (gate() != nullptr) {
        if (!gate()->mayOpen(endpoint)) {
            return nullptr;
        }
        gate()->connectionOpened(endpoint);
    }
    auto connection = std::make_unique<ClientConnection>(*this, endpoint);
    ClientConnection *address = connection.get();
    m_connections.emplace(address, std::move(connection));
    return address;
}

ClientConnection *PooledHttpClient::takeIdle(const framework::Endpoint &endpoint,
                                             framework::Milliseconds maxIdle)
{
    const auto idle = m_idle.find(endpoint);
    if (idle == m_idle.end()) {
        return nullptr;
    }
    if (gate() != nullptr && !gate()->mayKeep(endpoint)) {
        // The share has fallen below what is open.
        idle->second.front()->close();
        return takeIdle(endpoint, maxIdle);
    }
    ClientConnection *connection = idle->second.back();
    if (m_clock->now() - connection->idleSince() > maxIdle) {
        return nullptr;
    }
    removeIdle(*connection);
    if (gate() != nullptr) {
        gate()->connectionReused(endpoint);
    }
    return connection;
}

/// If no other connection may be opened, one that is too old for some of the calls is closed early.
/// Otherwise such a call would have to wait until the server has seen the close.
framework::Milliseconds
PooledHttpClient::keepTime(const framework::Endpoint &endpoint,
                           std::optional<framework::Milliseconds> stated) const
{
    framework::Milliseconds keepFor = m_options.maxIdle;
    if (stated) {
        keepFor = std::min(keepFor, *stated - KeepAliveMargin);
    }
    const auto fresh = m_freshTimes.find(endpoint);
    if (fresh != m_freshTimes.end() && !gate()->mayOpen(endpoint)) {
        keepFor = std::min(keepFor, fresh->second);
    }
    return keepFor;
}

void PooledHttpClient::release(ClientConnection &connection,
                               std::optional<framework::Milliseconds> stated)
{
    const framework::Milliseconds keepFor = keepTime(connection.endpoint(), stated);
    const auto found = m_idle.find(connection.endpoint());
    const std::size_t count = found == m_idle.end() ? 0 : found->second.size();
    const bool mayKeep = gate() == nullptr || gate()->mayKeep(connection.endpoint());
    if (count >= m_options.maxIdlePerEndpoint || m_idleCount >= m_options.maxIdleConnections
        || keepFor <= framework::Milliseconds(0) || !mayKeep) {
        connection.close();
        return;
    }
    m_idle[connection.endpoint()].push_back(&connection);
    ++m_idleCount;
    connection.becomeIdle(m_clock->now(), keepFor);
    if (gate() != nullptr) {
        gate()->connectionIdle(connection.endpoint());
    }
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

void PooledHttpClient::discard(ClientConnection &connection, ConnectionClose state)
{
    auto node = m_connections.extract(&connection);
    if (node.empty()) {
        return;
    }
    removeIdle(connection);
    if (gate() != nullptr) {
        gate()->connectionClosed(connection.endpoint(), state);
    }
    m_discarded.push_back(std::move(node.mapped()));
    if (m_discarded.size() > 1) {
        // A timer that is set anew with each connection would not fire while many end.
        return;
    }
    m_discardTimer = m_loop.callAfter(framework::Milliseconds(0),
                                      [this] { const auto gone = std::exchange(m_discarded, {}); });
}

} // namespace lavendertally::http
