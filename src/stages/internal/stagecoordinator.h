#pragma once

#include "stages/internal/batchdispatcher.h"
#include "stages/internal/jobadmission.h"
#include "stages/internal/jobtable.h"
#include "stages/internal/resultledger.h"
#include "stages/internal/routeshares.h"
#include "stages/internal/stageestimator.h"
#include "stages/internal/stagejobstate.h"
#include "stages/internal/unitqueue.h"
#include "stages/istagecoordinator.h"
#include "stages/types/stagelimits.h"

#include <map>

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::serving {
class IServingState;
}

namespace lavendertally::stages {

/// Keeps one queue for each pool and hands a batch to each backend server that becomes free, so
/// that what goes into a batch is decided as late as possible.
class StageCoordinator final : public IStageCoordinator
{
public:
    StageCoordinator(const serving::IServingState &serving,
                     const membership::IBackendServers &servers, const StageLimits &limits);
    ~StageCoordinator() override;

    void submit(const framework::DaemonId &owner, const protocol::StageJob &job,
                framework::TimePoint now) override;
    void cancel(const JobKey &job, framework::TimePoint now) override;
    void cancelAll(const framework::DaemonId &owner, framework::TimePoint now) override;
    void handOver() override;
    bool hasJobs() const override { return !m_jobs.isEmpty(); }
    std::vector<protocol::StageHolding> holdings() const override { return m_ledger.holdings(); }
    void setForeign(const framework::DaemonId &daemon,
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
    /// Makes room for a job by refusing others that have to give way to it.
    /// \return by how much it would be late nonetheless; zero or less if it is admitted
    framework::Milliseconds makeRoom(const StageJobState &job, framework::TimePoint now);
    void enqueue(StageJobState &job, std::size_t stage, framework::TimePoint now);
    void enqueueReady(StageJobState &job, framework::TimePoint now);

    void refuseLate(framework::TimePoint now);
    void dispatchAll(framework::TimePoint now);

    void pieceEnded(const RunningCall &call, const RunningPiece &piece, const PieceOutcome &outcome,
                    framework::TimePoint now);
    void pieceFailed(StageJobState &job, const RunningPiece &piece, PieceStatus status,
                     framework::TimePoint now);
    void restartInputs(StageJobState &job, std::size_t stage);
    void stageDone(StageJobState &job, std::size_t stage, framework::TimePoint now);
    void freeFetchedInputs(framework::TimePoint now);
    void freeInputs(StageJobState &job, std::size_t stage);
    bool isRoomPressed(const StageJobState &job, std::size_t stage);
    void finish(StageJobState &job, framework::TimePoint now);
    /// \param cause for the log
    /// \param lateness by how much the job is, or would be, behind its objective
    void fail(StageJobState &job, protocol::StageJobStatus status, const char *cause,
              framework::Milliseconds lateness);
    void erase(StageJobState &job);
    void freeResults(const std::vector<framework::StageResultId> &results);

    // Declared so that what is used outlives what uses it.
    StageLimits m_limits;
    JobTable m_jobs;
    std::map<framework::ServiceId, UnitQueue> m_queues;
    ResultLedger m_ledger;
    RouteShares m_shares;
    StageEstimator m_estimator;
    BatchDispatcher m_dispatcher;
    JobAdmission m_admission;
    std::vector<framework::StageResultId> m_toFree;
    std::vector<StageCommand> m_commands;
    framework::TimePoint m_nextWake = framework::TimePoint::never();
};

} // namespace lavendertally::stages
