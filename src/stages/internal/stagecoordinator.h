#pragma once

#include "stages/internal/batchdispatcher.h"
#include "stages/internal/jobadmission.h"
#include "stages/internal/jobtable.h"
#include "stages/internal/resulttracker.h"
#include "stages/internal/routeattainment.h"
#include "stages/internal/stageestimator.h"
#include "stages/internal/stagejobstate.h"
#include "stages/internal/stagequeue.h"
#include "stages/internal/storagequeries.h"
#include "stages/istagecoordinator.h"
#include "stages/types/stagecoordinatoroptions.h"

#include <map>

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::ratelimit {
class IServerRateLimits;
}

namespace lavendertally::serving {
class IServingState;
}

namespace lavendertally::rollout {
class IRolloutObserver;
}

namespace lavendertally::routing {
class IServerFilter;
}

namespace lavendertally::stages {

/// Keeps one queue per service and sends a batch to each backend server that becomes available, so
/// that the content of each batch is decided as late as possible.
class StageCoordinator final : public IStageCoordinator
{
public:
    StageCoordinator(const serving::IServingState &serving,
                     const membership::IBackendServers &servers,
                     ratelimit::IServerRateLimits &rateLimits,
                     const StageCoordinatorOptions &options,
                     std::vector<routing::IServerFilter *> filters,
                     rollout::IRolloutObserver *rollouts);
    ~StageCoordinator() override;

    void submit(const framework::DaemonId &owner, const protocol::StageJob &job,
                framework::TimePoint now) override;
    void cancel(const JobKey &job, framework::TimePoint now) override;
    void cancelAll(const framework::DaemonId &owner, framework::TimePoint now) override;
    void handOver() override;
    void storageReported(const framework::BackendServerId &server, framework::Bytes free,
                         framework::TimePoint now) override;
    bool hasJobs() const override { return !m_jobs.isEmpty(); }
    std::vector<protocol::StageHolding> holdings() const override
    {
        return m_resultTracker.holdings();
    }
    void setPeerHoldings(const framework::DaemonId &daemon,
                         const std::vector<protocol::StageHolding> &holdings,
                         framework::TimePoint now) override;
    void release(const std::vector<framework::StageResultId> &results,
                 framework::TimePoint now) override;
    void resultsFreed(const std::vector<framework::StageResultId> &results,
                      framework::TimePoint now) override;
    void callEnded(StageCallId call, const StageCallOutcome &outcome,
                   framework::TimePoint now) override;
    void wake(framework::TimePoint now) override;
    framework::TimePoint nextWake() const override;
    std::vector<StageCommand> takeCommands() override;

private:
    /// Evicts other jobs until the job is expected to meet its objective or none is left to evict.
    /// \return time by which it would still miss its objective; zero or less if it is admitted
    framework::Milliseconds evictUntilInTime(const StageJobState &job, framework::TimePoint now);
    void enqueue(StageJobState &job, std::size_t stage, framework::TimePoint now);
    /// Brings the queues in line with the job: just those stages wait in them that have pieces to
    /// send and all their inputs. Stages whose results are needed and no longer there run again.
    void requeue(StageJobState &job, framework::TimePoint now);

    void endLateJobs(framework::TimePoint now);
    void dispatchAll(framework::TimePoint now);
    void queryStorage(const std::vector<membership::BackendServerEntry> &servers);
    /// Frees results that were held back at backend servers that limit their requests.
    void freeHeldResults(framework::TimePoint now);
    bool takesExtraCalls(const framework::BackendServerId &server);

    void onPieceEnded(const RunningCall &call, const RunningPiece &piece,
                      const PieceOutcome &outcome, framework::TimePoint now);
    void retryOrFail(StageJobState &job, const RunningPiece &piece, PieceStatus status,
                     framework::TimePoint now);
    void onInputsLost(StageJobState &job, const RunningPiece &piece, framework::TimePoint now);
    void onStageDone(StageJobState &job, std::size_t stage, framework::TimePoint now);
    void freeFetchedInputs(framework::TimePoint now);
    void freeInputs(StageJobState &job, std::size_t stage);
    bool isStorageNearlyFull(const StageJobState &job, std::size_t stage);
    void completeJob(StageJobState &job, framework::TimePoint now);
    /// Ends a job without results.
    /// \param cause reason for the log and the metrics
    /// \param lateness actual or predicted time by which the job misses its objective
    void failJob(StageJobState &job, protocol::StageJobStatus status, const char *cause,
                 framework::Milliseconds lateness);
    void eraseJob(StageJobState &job);
    void freeResults(const std::vector<framework::StageResultId> &results);
    void reportAnswer(const RunningCall &call, const StageCallOutcome &outcome,
                      framework::TimePoint now);

    // Declaration order matters: each member is destroyed before those that it refers to.
    StageCoordinatorOptions m_options;
    rollout::IRolloutObserver *m_rollouts;
    ratelimit::IServerRateLimits &m_rateLimits;
    JobTable m_jobs;
    std::map<framework::ServiceId, StageQueue> m_queues;
    ResultTracker m_resultTracker;
    RouteAttainment m_attainment;
    StageEstimator m_estimator;
    StorageQueries m_storageQueries;
    BatchDispatcher m_dispatcher;
    JobAdmission m_admission;
    std::vector<framework::StageResultId> m_resultsToFree;
    /// Results to free at backend servers that limit their requests, until a call is worth it.
    std::map<framework::BackendServerId, std::vector<framework::StageResultId>> m_heldResults;
    std::vector<StageCommand> m_commands;
    framework::TimePoint m_lastDispatch;
    framework::TimePoint m_nextWake = framework::TimePoint::never();
};

} // namespace lavendertally::stages
