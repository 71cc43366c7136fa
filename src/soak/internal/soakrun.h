#pragma once

#include "framework/types/timepoint.h"
#include "soak/internal/plannedfault.h"
#include "soak/internal/proxymode.h"
#include "soak/internal/soakconfiguration.h"
#include "soak/internal/soakoptions.h"
#include "standins/deferredcalls.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::http {
class IHttpCall;
class IHttpClient;
} // namespace lavendertally::http

namespace lavendertally::standins {
enum class FaultMode;
class PlatformStoreStandIn;
} // namespace lavendertally::standins

namespace lavendertally::soak {

class BackendFleet;
class GatewayHost;
class LoadClients;
class LoopbackProxy;
class Promises;
class SoakRollouts;

/// One run of the soak: real gateways under load and faults, while the promises are checked.
class SoakRun
{
public:
    explicit SoakRun(const SoakOptions &options);
    ~SoakRun();

    /// \return what was violated; empty if all promises held
    const std::vector<std::string> &run();

    /// \return one line on what the run did
    std::string summary() const;

private:
    void publish();
    void startGateways();
    void pollReadiness();
    void apply(const PlannedFault &fault);
    void applyToGateway(const PlannedFault &fault);
    void applyToStore(const PlannedFault &fault);
    void applyToServer(const PlannedFault &fault);
    void applyOperatorChange(const PlannedFault &fault);
    void disturbStore(standins::FaultMode mode, framework::Milliseconds time);
    void disturbLink(LoopbackProxy &link, const PlannedFault &fault);
    void revokeKey();
    void takeZoneOut(framework::Milliseconds time);
    void healAll();
    void endTraffic();
    framework::TimePoint calmSince(std::size_t gateway) const;
    void controlDisturbed();

    SoakOptions m_options;
    std::unique_ptr<framework::IEventLoop> m_loop;
    std::unique_ptr<framework::IClock> m_clock;
    std::unique_ptr<Promises> m_promises;
    std::unique_ptr<standins::PlatformStoreStandIn> m_store;
    std::unique_ptr<BackendFleet> m_servers;
    /// Null if the options ask for none.
    std::unique_ptr<SoakRollouts> m_rollouts;
    std::vector<std::unique_ptr<GatewayHost>> m_gateways;
    std::unique_ptr<LoadClients> m_load;
    std::unique_ptr<http::IHttpClient> m_balancer;
    std::vector<std::unique_ptr<http::IHttpCall>> m_probes;
    std::vector<int> m_misses;
    std::unique_ptr<framework::ITimer> m_probeTimer;
    standins::DeferredCalls m_later;
    SoakConfiguration m_configuration;
    bool m_zoneIsOut = false;
    /// The store, or links to it or between gateways, were disturbed last.
    framework::TimePoint m_controlDisturbed;
    framework::TimePoint m_quietSince = framework::TimePoint::never();
    std::map<std::string, int> m_applied;
};

} // namespace lavendertally::soak
