#pragma once

#include "connections/iconnectionshares.h"
#include "connections/ileasebook.h"
#include "connections/internal/connectionfilter.h"
#include "connections/internal/connectionreport.h"
#include "connections/internal/serverconnections.h"
#include "connections/types/servercap.h"
#include "framework/types/endpoint.h"
#include "http/iconnectiongate.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::serving {
class IServingState;
}

namespace lavendertally::connections {

/// Keeps count of the connections to each backend server, and holds them within this gateway's
/// share.
class ConnectionShares final : public IConnectionShares,
                               public ILeaseBook,
                               public http::IConnectionGate
{
public:
    ConnectionShares(const membership::IBackendServers &servers,
                     const serving::IServingState &serving, framework::IScheduler &scheduler,
                     const framework::IClock &clock, framework::ILogger &logger,
                     framework::IMetrics &metrics, const ConnectionLimits &limits);
    ~ConnectionShares() override;
    ConnectionShares(const ConnectionShares &) = delete;
    ConnectionShares &operator=(const ConnectionShares &) = delete;

    void setFleet(const FleetView &fleet) override;
    void noteServer(const membership::BackendServerEntry &server) override;
    bool isLimited(const membership::BackendServerEntry &server) const override;
    bool canTakeCall(const framework::ServiceId &service) override;
    void onFree(std::function<void(const framework::ServiceId &)> callback) override;
    void tick() override;
    http::IConnectionGate &gate() override { return *this; }
    routing::IServerFilter &filter() override { return m_filter; }
    ILeaseBook &leases() override { return *this; }

    std::vector<protocol::ConnectionLease> takeWishes(framework::TimePoint now) override;
    void addLeases(const std::vector<protocol::ConnectionLease> &leases,
                   framework::TimePoint asked) override;
    std::uint32_t lendable(const framework::Endpoint &server, const framework::ServiceId &service,
                           framework::TimePoint now) override;
    void setWishListener(std::function<void(framework::TimePoint)> listener) override;

    bool mayOpen(const framework::Endpoint &server) override;
    bool mayKeep(const framework::Endpoint &server) override;
    bool mayWait(const framework::Endpoint &server) override;
    void connectionOpened(const framework::Endpoint &server) override;
    void connectionIdle(const framework::Endpoint &server) override;
    void connectionReused(const framework::Endpoint &server) override;
    void connectionClosed(const framework::Endpoint &server, http::ConnectionClose state) override;
    void waitStarted(const framework::Endpoint &server) override;
    void waitEnded(const framework::Endpoint &server, bool isServed) override;
    void setWaitListener(std::function<void(const framework::Endpoint &)> listener) override;

    /// \return whether a call to \p server would get a connection at once
    bool canTake(const membership::BackendServerEntry &server);
    /// \return whether another call may wait for a connection to \p server
    bool canWait(const framework::Endpoint &server);
    void reportRefusal(const framework::Endpoint &server);

private:
    /// \return the server's connections; null if its service is not known or limits none
    ServerConnections *limited(const framework::Endpoint &server);
    std::optional<ServerCap> capOf(const framework::Endpoint &server,
                                   const framework::ServiceId &service) const;
    /// \return whether the server limits its connections
    bool updateShare(const framework::Endpoint &server, ServerConnections &connections);
    void updateShares();
    /// Notes that a free connection to the server is waited for.
    void awaitFree(const framework::Endpoint &server);
    /// The server may have a free connection now, or will have one without a call's end.
    void planNoticeFor(const framework::Endpoint &server);
    void planNotice(framework::TimePoint at);
    void notify();
    bool tellWaiting(const framework::Endpoint &server);
    void tellWish(framework::TimePoint at);
    void forgetUnused();
    void forgetEarlierFleets();
    ServerConnections &entry(const framework::Endpoint &server);

    const membership::IBackendServers &m_servers;
    const serving::IServingState &m_serving;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    ConnectionLimits m_limits;
    framework::ILogger &m_logger;
    ConnectionReport m_report;
    ConnectionFilter m_filter;
    FleetView m_fleet;
    /// Views that were replaced, and when; those of the last raise delay.
    std::vector<std::pair<FleetView, framework::TimePoint>> m_earlierFleets;
    /// Since when this gateway is one of those that lend.
    framework::TimePoint m_leadingSince = framework::TimePoint::never();
    /// When the view of the gateways counts as complete.
    framework::TimePoint m_joinedAt = framework::TimePoint::never();
    std::map<framework::Endpoint, ServerConnections> m_connections;
    /// Servers that had no free connection when one was asked for.
    std::set<framework::Endpoint> m_awaited;
    /// Servers at which a connection is wished for, though no call waits for it there yet.
    std::set<framework::Endpoint> m_wished;
    std::size_t m_nextWish = 0;
    framework::TimePoint m_noticeAt = framework::TimePoint::never();
    std::unique_ptr<framework::ITimer> m_noticeTimer;
    std::function<void(const framework::Endpoint &)> m_waitListener;
    std::vector<std::function<void(const framework::ServiceId &)>> m_freeListeners;
    std::function<void(framework::TimePoint)> m_wishListener;
};

} // namespace lavendertally::connections
