#include "connections/internal/connectionshares.h"

#include "connections/sharesize.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "membership/ibackendservers.h"
#include "peers/leadingdaemons.h"
#include "serving/iservingstate.h"
#include "serving/types/servingconfiguration.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace lavendertally::connections {

ConnectionShares::ConnectionShares(const membership::IBackendServers &servers,
                                   const serving::IServingState &serving,
                                   framework::IScheduler &scheduler, const framework::IClock &clock,
                                   framework::ILogger &logger, framework::IMetrics &metrics,
                                   const ConnectionLimits &limits)
    : m_servers(servers), m_serving(serving), m_scheduler(scheduler), m_clock(clock),
      m_limits(limits), m_logger(logger), m_report(logger, metrics, limits.logInterval),
      m_filter(*this)
{ }

ConnectionShares::~ConnectionShares() = default;

void ConnectionShares::setFleet(const FleetView &fleet)
{
    if (fleet == m_fleet) {
        return;
    }
    const framework::TimePoint now = m_clock.now();
    if (m_fleet.gateways == 0) {
        m_joinedAt = now + m_limits.raiseDelay;
    }
    forgetEarlierFleets();
    m_earlierFleets.emplace_back(m_fleet, now);
    m_fleet = fleet;
    if (fleet.position >= peers::LeadingDaemons) {
        m_leadingSince = framework::TimePoint::never();
    } else if (m_leadingSince == framework::TimePoint::never()) {
        m_leadingSince = now;
    }
    m_logger.info("gateways that share the connections to backend servers",
                  {{"gateways", std::to_string(fleet.gateways)},
                   {"position", std::to_string(fleet.position)}});
    updateShares();
}

void ConnectionShares::noteServer(const membership::BackendServerEntry &server)
{
    ServerConnections &connections = entry(server.endpoint);
    if (connections.service() != server.service) {
        connections.setService(server.service);
    }
}

bool ConnectionShares::isLimited(const membership::BackendServerEntry &server) const
{
    return capOf(server.endpoint, server.service).has_value();
}

std::optional<ServerCap> ConnectionShares::capOf(const framework::Endpoint &server,
                                                 const framework::ServiceId &service) const
{
    const auto configuration = m_serving.configuration();
    const serving::ServiceSpec *spec =
        configuration != nullptr ? configuration->findService(service) : nullptr;
    // Only the coordinator calls stage servers, and no more than their slots and queue at once. It
    // needs all of that at the moment when it takes over, before a share could rise.
    if (spec == nullptr || spec->maxConnections == 0 || spec->stagePool) {
        return std::nullopt;
    }
    ServerCap cap{spec->maxConnections, 0};
    if (m_fleet.gateways * (peers::LeadingDaemons + 2) > spec->maxConnections) {
        const auto &admitting = m_servers.admitting(service);
        const auto found =
            std::find_if(admitting.begin(), admitting.end(), [&server](const auto *candidate) {
                return candidate->endpoint == server;
            });
        cap.index = static_cast<std::size_t>(found - admitting.begin());
    }
    return cap;
}

ServerConnections &ConnectionShares::entry(const framework::Endpoint &server)
{
    const auto found = m_connections.find(server);
    return found != m_connections.end()
        ? found->second
        : m_connections.try_emplace(server, framework::ServiceId(), m_limits).first->second;
}

ServerConnections *ConnectionShares::limited(const framework::Endpoint &server)
{
    const auto found = m_connections.find(server);
    if (found == m_connections.end()) {
        return nullptr;
    }
    return updateShare(server, found->second) ? &found->second : nullptr;
}

bool ConnectionShares::updateShare(const framework::Endpoint &server,
                                   ServerConnections &connections)
{
    const auto cap = capOf(server, connections.service());
    if (!cap) {
        return false;
    }
    const framework::TimePoint now = m_clock.now();
    DelayedShare &share = connections.delayedShare();
    const std::uint32_t target = shareSize(*cap, m_fleet, false);
    if (m_fleet.gateways == 0) {
        share.assume(target);
        return true;
    }
    if (now < m_joinedAt) {
        // The raise delay runs while the gateway joins, so that the two do not add up. A fleet that
        // changes meanwhile starts it again.
        share.limit(shareSize(*cap, m_fleet, true), target, m_earlierFleets.back().second);
    }
    share.update(target, now);
    return true;
}

void ConnectionShares::updateShares()
{
    for (auto &[server, connections] : m_connections) {
        updateShare(server, connections);
    }
    const std::set<framework::Endpoint> awaited = m_awaited;
    for (const framework::Endpoint &server : awaited) {
        planNoticeFor(server);
    }
}

bool ConnectionShares::canTake(const membership::BackendServerEntry &server)
{
    noteServer(server);
    const ServerConnections *connections = limited(server.endpoint);
    if (connections == nullptr || connections->hasFree(m_clock.now())) {
        return true;
    }
    awaitFree(server.endpoint);
    return false;
}

bool ConnectionShares::canTakeCall(const framework::ServiceId &service)
{
    const auto &servers = m_servers.admitting(service);
    const bool can = std::any_of(servers.begin(), servers.end(),
                                 [this](const auto *server) { return canTake(*server); });
    if (!can && !servers.empty()) {
        // One connection serves the call, so it is wished for at one server, each in turn.
        m_wished.insert(servers[m_nextWish++ % servers.size()]->endpoint);
        tellWish(m_clock.now());
    }
    return can;
}

void ConnectionShares::onFree(std::function<void(const framework::ServiceId &)> callback)
{
    m_freeListeners.push_back(std::move(callback));
}

bool ConnectionShares::mayOpen(const framework::Endpoint &server)
{
    const ServerConnections *connections = limited(server);
    return connections == nullptr || connections->openable(m_clock.now()) > 0;
}

bool ConnectionShares::mayKeep(const framework::Endpoint &server)
{
    const ServerConnections *connections = limited(server);
    return connections == nullptr || connections->mayKeep(m_clock.now());
}

bool ConnectionShares::canWait(const framework::Endpoint &server)
{
    const ServerConnections *connections = limited(server);
    if (connections == nullptr) {
        return true;
    }
    // Without a share, a connection may be borrowed.
    const std::uint32_t share = std::max<std::uint32_t>(connections->share(m_clock.now()), 1);
    return connections->waiting() < share * m_limits.waitersPerConnection;
}

bool ConnectionShares::mayWait(const framework::Endpoint &server)
{
    const bool can = canWait(server);
    if (!can) {
        reportRefusal(server);
    }
    return can;
}

void ConnectionShares::reportRefusal(const framework::Endpoint &server)
{
    m_report.refused(server, entry(server), m_clock.now());
}

void ConnectionShares::connectionOpened(const framework::Endpoint &server)
{
    ServerConnections &connections = entry(server);
    connections.opened();
    m_report.opened(connections.service());
}

void ConnectionShares::connectionIdle(const framework::Endpoint &server)
{
    entry(server).becameIdle();
    planNoticeFor(server);
}

void ConnectionShares::connectionReused(const framework::Endpoint &server)
{
    entry(server).reused();
}

void ConnectionShares::connectionClosed(const framework::Endpoint &server,
                                        http::ConnectionClose state)
{
    const framework::TimePoint now = m_clock.now();
    ServerConnections &connections = entry(server);
    const bool wasBorrowed = connections.borrowed(now) > 0;
    connections.closed(state, now);
    if (wasBorrowed) {
        tellWish(now + m_limits.closeHold);
    }
    if (state == http::ConnectionClose::Rejected) {
        m_report.rejected(server, connections, m_clock.now());
    }
    planNoticeFor(server);
}

void ConnectionShares::waitStarted(const framework::Endpoint &server)
{
    entry(server).waitStarted();
    awaitFree(server);
    tellWish(m_clock.now());
}

void ConnectionShares::waitEnded(const framework::Endpoint &server, bool isServed)
{
    ServerConnections &connections = entry(server);
    connections.waitEnded();
    m_report.waitEnded(connections.service(), isServed);
    planNoticeFor(server);
}

void ConnectionShares::setWaitListener(std::function<void(const framework::Endpoint &)> listener)
{
    m_waitListener = std::move(listener);
}

void ConnectionShares::awaitFree(const framework::Endpoint &server)
{
    m_awaited.insert(server);
    const framework::TimePoint now = m_clock.now();
    const framework::TimePoint next = entry(server).nextOpenable(now);
    // What is free now is meant for calls that wait already, and told when it became free.
    if (next > now) {
        planNotice(next);
    }
}

void ConnectionShares::tellWish(framework::TimePoint at)
{
    if (m_wishListener) {
        m_wishListener(at);
    }
}

std::vector<protocol::ConnectionLease> ConnectionShares::takeWishes(framework::TimePoint now)
{
    std::vector<protocol::ConnectionLease> wishes;
    for (auto &[server, connections] : m_connections) {
        if (!updateShare(server, connections)) {
            continue;
        }
        protocol::ConnectionLease wish{server, connections.service(), 0, 0};
        if (connections.takeWish(m_wished.contains(server), now, wish.held, wish.count)) {
            wishes.push_back(std::move(wish));
        }
    }
    m_wished.clear();
    return wishes;
}

void ConnectionShares::addLeases(const std::vector<protocol::ConnectionLease> &leases,
                                 framework::TimePoint asked)
{
    for (const protocol::ConnectionLease &lease : leases) {
        const auto found = m_connections.find(lease.server);
        if (found != m_connections.end()) {
            found->second.borrow(lease.count, asked + m_limits.leaseTime);
            planNoticeFor(lease.server);
        }
    }
}

/// Nothing is lent until all that others may have lent before has come back.
std::uint32_t ConnectionShares::lendable(const framework::Endpoint &server,
                                         const framework::ServiceId &service,
                                         framework::TimePoint now)
{
    const framework::Milliseconds delay =
        m_limits.raiseDelay + m_limits.leaseTime + m_limits.maxCallTime;
    const auto cap = capOf(server, service);
    if (!cap || m_leadingSince == framework::TimePoint::never() || now - m_leadingSince < delay) {
        return 0;
    }
    forgetEarlierFleets();
    std::uint32_t least = lendableSize(*cap, m_fleet);
    for (const auto &[fleet, replaced] : m_earlierFleets) {
        least = std::min(least, lendableSize(*cap, fleet));
    }
    return least;
}

void ConnectionShares::forgetEarlierFleets()
{
    const framework::TimePoint now = m_clock.now();
    std::erase_if(m_earlierFleets,
                  [&](const auto &earlier) { return now - earlier.second >= m_limits.raiseDelay; });
}

void ConnectionShares::setWishListener(std::function<void(framework::TimePoint)> listener)
{
    m_wishListener = std::move(listener);
}

void ConnectionShares::planNoticeFor(const framework::Endpoint &server)
{
    if (!m_awaited.contains(server)) {
        return;
    }
    const framework::TimePoint now = m_clock.now();
    const ServerConnections &connections = entry(server);
    planNotice(connections.idle() > 0 ? now : connections.nextOpenable(now));
}

void ConnectionShares::planNotice(framework::TimePoint at)
{
    if (at >= m_noticeAt) {
        return;
    }
    m_noticeAt = at;
    m_noticeTimer = m_scheduler.callAfter(at - m_clock.now(), [this] { notify(); });
}

void ConnectionShares::notify()
{
    m_noticeAt = framework::TimePoint::never();
    const std::set<framework::Endpoint> awaited = m_awaited;
    std::set<framework::ServiceId> services;
    for (const framework::Endpoint &server : awaited) {
        if (tellWaiting(server)) {
            services.insert(entry(server).service());
        }
    }
    for (const framework::ServiceId &service : services) {
        for (const auto &listener : m_freeListeners) {
            listener(service);
        }
    }
}

/// \return whether a connection is free that no call waits for
bool ConnectionShares::tellWaiting(const framework::Endpoint &server)
{
    const framework::TimePoint now = m_clock.now();
    ServerConnections *connections = limited(server);
    if (connections != nullptr && connections->idle() + connections->openable(now) == 0) {
        awaitFree(server);
        return false;
    }
    m_awaited.erase(server);
    if (entry(server).waiting() > 0 && m_waitListener) {
        m_waitListener(server);
    }
    if (entry(server).waiting() > 0) {
        awaitFree(server);
    }
    return connections == nullptr || connections->hasFree(now);
}

void ConnectionShares::forgetUnused()
{
    if (m_connections.size() <= m_limits.maxIdleServers) {
        return;
    }
    const framework::TimePoint now = m_clock.now();
    std::erase_if(m_connections, [&](const auto &each) {
        return each.second.held(now) == 0 && each.second.waiting() == 0
            && !m_awaited.contains(each.first);
    });
}

void ConnectionShares::tick()
{
    forgetUnused();
    updateShares();
    m_report.setGauges(m_connections, m_clock.now());
}

} // namespace lavendertally::connections
