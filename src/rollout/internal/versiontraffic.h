#pragma once

#include "framework/types/timepoint.h"
#include "membership/types/membershipgeneration.h"
#include "rollout/internal/servicetraffic.h"
#include "rollout/irolloutobserver.h"
#include "rollout/irolloutorders.h"
#include "rollout/irollouttraffic.h"
#include "routing/iserverfilter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::rollout {

/// Limits the choice of backend servers to what orders and their steps allow, for all services.
class VersionTraffic final : public IRolloutTraffic
{
public:
    VersionTraffic(const membership::IBackendServers &servers, const RolloutBounds &bounds,
                   std::uint64_t start, const framework::IClock &clock, framework::ILogger &logger,
                   framework::IMetrics &metrics);

    void restrict(const routing::ServerQuery &query,
                  std::vector<const membership::BackendServerEntry *> &candidates,
                  framework::TimePoint now) override;
    void prefer(const routing::ServerQuery &query,
                std::vector<const membership::BackendServerEntry *> &candidates,
                framework::TimePoint now) override;
    void callStarted(const membership::BackendServerEntry &server,
                     framework::TimePoint now) override;
    void callEnded(const framework::BackendServerId &server, framework::TimePoint now) override;
    void answered(const framework::BackendServerId &server, const framework::RouteId &route,
                  AnswerQuality quality, framework::Milliseconds time) override;
    void put(const RolloutOrder &order) override;
    void remove(const framework::ServiceId &service) override;
    void setResultHolders(Holders holders) override { m_holders = std::move(holders); }

    /// \param callback called when an order is new, changes or is taken back
    void onOrders(std::function<void()> callback) { m_onOrders = std::move(callback); }
    /// \return services with orders
    std::vector<framework::ServiceId> ordered() const;
    /// \return backend servers that keep results of stages
    std::set<framework::BackendServerId> resultHolders() const { return m_holders(); }
    /// \return traffic of a service, with its present servers; null if it is not known
    ServiceTraffic *find(const framework::ServiceId &service);

private:
    struct Service
    {
        std::unique_ptr<ServiceTraffic> traffic;
        std::optional<membership::MembershipGeneration> generation;
    };

    ServiceTraffic &traffic(const framework::ServiceId &service);
    /// \return a service, whose servers may be out of date or not known yet
    Service &entry(const framework::ServiceId &service);
    void refresh(const framework::ServiceId &id, Service &service);

    const membership::IBackendServers &m_servers;
    RolloutBounds m_bounds;
    std::uint64_t m_start;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    std::map<framework::ServiceId, Service> m_services;
    /// Services of the servers that have calls.
    std::unordered_map<framework::BackendServerId, framework::ServiceId> m_serviceOf;
    std::function<void()> m_onOrders = [] {};
    Holders m_holders = [] { return std::set<framework::BackendServerId>(); };
};

} // namespace lavendertally::rollout
