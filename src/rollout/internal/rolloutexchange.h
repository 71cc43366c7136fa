#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "peers/ipeerobserver.h"
#include "protocol/types/rolloutreport.h"
#include "protocol/types/rolloutsteps.h"
#include "rollout/internal/rolloutcase.h"
#include "rollout/internal/statuswriter.h"
#include "rollout/types/rolloutbounds.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::peers {
class IDaemonDirectory;
class IPeerNetwork;
} // namespace lavendertally::peers

namespace lavendertally::rollout {

class ServiceTraffic;
class VersionTraffic;

/// Tells the leading daemons what this one has seen of the versions of services under an order, and
/// follows the steps of the decider: the first of the leading daemons that takes requests. A daemon
/// that hears no decider keeps its step. Does nothing while no order stands.
class RolloutExchange final : public peers::IPeerObserver
{
public:
    RolloutExchange(framework::DaemonId self, VersionTraffic &traffic,
                    IRolloutStatusStore &statuses, const RolloutBounds &bounds, std::uint64_t start,
                    peers::IPeerNetwork &network, const peers::IDaemonDirectory &directory,
                    framework::IScheduler &scheduler, const framework::IClock &clock,
                    framework::ILogger &logger, framework::IMetrics &metrics);
    ~RolloutExchange() override;
    RolloutExchange(const RolloutExchange &) = delete;
    RolloutExchange &operator=(const RolloutExchange &) = delete;

    void onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message) override;
    void onDigests(const framework::DaemonId &peer,
                   const std::vector<protocol::TopicDigest> &digests,
                   std::optional<framework::TimePoint> pingSent) override;
    void onCrashFingerprint(const framework::DaemonId &peer,
                            protocol::EvidenceFingerprint fingerprint) override;
    void onOutboundLinkLost(const framework::DaemonId &peer) override;
    void onInboundLinkClosed(const framework::DaemonId &peer) override;
    void onClosedByPeer(const framework::DaemonId &peer) override;

private:
    /// What this daemon knows as a leading one.
    struct Case
    {
        std::uint64_t rolloutNumber = 0;
        protocol::RolloutOrderId order;
        RolloutCase decisions;
        std::string loggedReason;
        framework::TimePoint logged;
    };

    void onOrders();
    void tick();
    void scheduleTick();
    bool isDecider() const;
    bool isUsable(const framework::DaemonId &daemon,
                  const std::vector<framework::DaemonId> &takers) const;
    Case *findCase(const ServiceTraffic &service);
    void judgeOwn(ServiceTraffic &service);
    /// Sends this daemon's report to the leading daemons if it has changed or is due.
    void report(const protocol::RolloutReport &report);
    void decideAll();
    void decide(ServiceTraffic &service, Case &rolloutCase);
    RolloutSituation situation(const ServiceTraffic &service) const;
    void follow(ServiceTraffic &service, Case &rolloutCase, const RolloutDecision &decision);
    void adoptStatus(ServiceTraffic &service);
    void logStep(const ServiceTraffic &service, const Case &rolloutCase,
                 const RolloutDecision &decision) const;
    void showStep(const ServiceTraffic &service) const;
    void announceSteps(bool isDue);
    void onReport(const framework::DaemonId &peer, const protocol::RolloutReport &report);
    void onSteps(const framework::DaemonId &peer, const protocol::RolloutSteps &steps);

    framework::DaemonId m_self;
    VersionTraffic &m_traffic;
    RolloutBounds m_bounds;
    std::uint64_t m_start;
    peers::IPeerNetwork &m_network;
    const peers::IDaemonDirectory &m_directory;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    StatusWriter m_statuses;
    std::map<framework::ServiceId, Case> m_cases;
    protocol::RolloutReport m_lastReport;
    framework::TimePoint m_reported;
    protocol::RolloutSteps m_lastSteps;
    framework::TimePoint m_announced;
    bool m_wasDecider = false;
    std::unique_ptr<framework::ITimer> m_timer;
};

} // namespace lavendertally::rollout
