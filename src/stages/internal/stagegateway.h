#pragma once

#include "framework/types/timepoint.h"
#include "peers/ipeerobserver.h"
#include "stages/internal/coordinatorcandidate.h"
#include "stages/internal/stagerunner.h"
#include "stages/istageservice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lavendertally::peers {
class IDaemonDirectory;
class IPeerNetwork;
} // namespace lavendertally::peers

namespace lavendertally::stages {

/// Hands jobs to the daemon that coordinates the stages: the first one in an order that all daemons
/// share among those that can be reached. When it falls silent, its jobs go to the next one.
class StageGateway final : public IStageService, public peers::IPeerObserver
{
public:
    /// \param self this daemon
    /// \param coordinator coordinator that runs jobs while this daemon comes first
    StageGateway(framework::DaemonId self, IStageCoordinator &coordinator, IStageCallPort &calls,
                 peers::IPeerNetwork &network, peers::IDaemonDirectory &directory,
                 framework::IScheduler &scheduler, const framework::IClock &clock,
                 framework::ILogger &logger, framework::IMetrics &metrics);
    ~StageGateway() override;

    void start(const protocol::StageJob &job,
               std::function<void(protocol::StageJobOutcome)> done) override;
    void cancel(const framework::RequestId &request) override;
    void release(const std::vector<framework::StageResultId> &results) override;
    void handOver() override;

    void onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message) override;
    void onDigests(const framework::DaemonId &peer,
                   const std::vector<protocol::TopicDigest> &digests,
                   std::optional<framework::TimePoint> asked) override;
    void onOutboundLinkLost(const framework::DaemonId &peer) override;
    void onInboundLinkClosed(const framework::DaemonId &peer) override;

private:
    struct PendingJob
    {
        protocol::StageJob job;
        std::function<void(protocol::StageJobOutcome)> done;
        framework::DaemonId coordinator;
        framework::TimePoint started;
        /// Whether it waits for the coordinator to be known.
        bool isHeld = false;
    };

    void connect();
    std::vector<CoordinatorCandidate> candidates() const;
    std::optional<framework::DaemonId> findCoordinator();
    void submit(PendingJob &pending);
    void submitHeld();
    void jobEnded(const framework::DaemonId &owner, const protocol::StageJobOutcome &outcome);
    void outcomeArrived(const framework::DaemonId &maker, const protocol::StageJobOutcome &outcome);
    void holdingsArrived(const framework::DaemonId &peer, const protocol::StageHoldings &holdings);
    void tellHoldings();

    framework::DaemonId m_self;
    peers::IPeerNetwork &m_network;
    peers::IDaemonDirectory &m_directory;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    StageRunner m_runner;
    framework::DaemonId m_coordinator;
    std::map<framework::RequestId, PendingJob> m_pending;
    /// Which coordinator keeps account of results that were handed out.
    std::map<framework::StageResultId, framework::DaemonId> m_makers;
    /// Daemons that told lately that they coordinate jobs too.
    std::set<framework::DaemonId> m_besideMe;
    /// Ends of jobs that were coordinated here, told after the calls under way have returned.
    std::vector<protocol::StageJobOutcome> m_ended;
    std::unique_ptr<framework::ITimer> m_endedTimer;
    std::unique_ptr<framework::ITimer> m_holdTimer;
    std::unique_ptr<framework::ITimer> m_holdingsTimer;
};

} // namespace lavendertally::stages
