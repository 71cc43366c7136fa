#pragma once

#include "framework/types/timepoint.h"
#include "peers/ipeerobserver.h"
#include "stages/internal/coordinatorcandidate.h"
#include "stages/internal/stagecommandexecutor.h"
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

/// Submits jobs to the daemon that coordinates stages, which chooseCoordinator() selects from the
/// ranking that all daemons share. When the link to the coordinator is lost, its jobs are submitted
/// again to the next one. While this daemon is the coordinator, it runs its own jobs and those that
/// other daemons submit.
class StageService final : public IStageService, public peers::IPeerObserver
{
public:
    /// \param self id of this daemon
    /// \param coordinator runs the jobs that are submitted to this daemon
    StageService(framework::DaemonId self, IStageCoordinator &coordinator, IStageCallPort &calls,
                 peers::IPeerNetwork &network, peers::IDaemonDirectory &directory,
                 framework::IScheduler &scheduler, const framework::IClock &clock,
                 framework::ILogger &logger, framework::IMetrics &metrics);
    ~StageService() override;

    void start(const protocol::StageJob &job,
               std::function<void(protocol::StageJobOutcome)> done) override;
    void cancel(const framework::RequestId &request) override;
    void release(const std::vector<framework::StageResultId> &results) override;
    void handOver() override;

    void onMessage(const framework::DaemonId &peer, const protocol::PeerMessage &message) override;
    void onDigests(const framework::DaemonId &peer,
                   const std::vector<protocol::TopicDigest> &digests,
                   std::optional<framework::TimePoint> asked) override;
    void onCrashFingerprint(const framework::DaemonId &peer,
                            protocol::EvidenceFingerprint fingerprint) override;
    void onOutboundLinkLost(const framework::DaemonId &peer) override;
    void onInboundLinkClosed(const framework::DaemonId &peer) override;

private:
    struct PendingJob
    {
        protocol::StageJob job;
        std::function<void(protocol::StageJobOutcome)> done;
        framework::DaemonId coordinator;
        framework::TimePoint started;
        /// Whether it has not been submitted because the coordinator is not known yet.
        bool awaitsCoordinator = false;
    };

    void connectToRanking();
    std::vector<CoordinatorCandidate> candidates() const;
    std::optional<framework::DaemonId> selectCoordinator();
    void submit(PendingJob &pending);
    void submitWaiting();
    void onLocalJobEnded(const framework::DaemonId &owner,
                         const protocol::StageJobOutcome &outcome);
    void onOutcome(const framework::DaemonId &coordinator,
                   const protocol::StageJobOutcome &outcome);
    void onHoldings(const framework::DaemonId &peer, const protocol::StageHoldings &holdings);
    void scheduleHoldingsReport();

    framework::DaemonId m_self;
    peers::IPeerNetwork &m_network;
    peers::IDaemonDirectory &m_directory;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    StageCommandExecutor m_executor;
    framework::DaemonId m_coordinator;
    std::map<framework::RequestId, PendingJob> m_pending;
    /// Coordinator that tracks each result that was passed on to a caller.
    std::map<framework::StageResultId, framework::DaemonId> m_resultCoordinators;
    /// Daemons that reported since the last holdings report that they coordinate jobs, too.
    std::set<framework::DaemonId> m_peersToReportTo;
    /// Outcomes of jobs that ran here, delivered from a timer so that no callback is called from
    /// within start() or another function that the caller is in.
    std::vector<protocol::StageJobOutcome> m_localOutcomes;
    std::unique_ptr<framework::ITimer> m_localOutcomesTimer;
    std::unique_ptr<framework::ITimer> m_retryTimer;
    std::unique_ptr<framework::ITimer> m_holdingsTimer;
};

} // namespace lavendertally::stages
