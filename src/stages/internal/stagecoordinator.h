#pragma once

#include "stages/internal/resultledger.h"
#include "stages/internal/routeshares.h"
#include "stages/internal/stageestimator.h"
#include "stages/internal/stagejobstate.h"
#include "stages/internal/unitqueue.h"
#include "stages/istagecoordinator.h"
#include "stages/types/stagelimits.h"

#include <cstdint>
#include <map>
#include <memory>

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::serving {
class IServingState;
struct StagePool;
} // namespace lavendertally::serving

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
    using JobNumber = std::uint64_t;

    struct RunningPiece
    {
        JobNumber job = 0;
        std::size_t stage = 0;
        std::uint32_t piece = 0;
        framework::Bytes resultSize;
    };

    struct RunningCall
    {
        membership::BackendServerEntry server;
        std::vector<RunningPiece> pieces;
        framework::TimePoint started;
        framework::Milliseconds expected;
        framework::Milliseconds resultLifetime;
        framework::Bytes reserved;
        /// Whether its inputs have been fetched once StageLimits::fetchTime has passed, and this
        /// has not been made use of.
        bool fetchesAtOnce = false;
    };

    bool canRun(const protocol::StageJob &job) const;
    /// Makes room for a job by refusing others that have to give way to it.
    /// \return by how much it would be late nonetheless; zero or less if it is admitted
    framework::Milliseconds makeRoom(const StageJobState &job, framework::TimePoint now);
    void estimateAhead(const StageJobState &job, framework::TimePoint now);
    StageJobState *findVictim(const StageJobState &job, framework::TimePoint now);
    bool givesWay(const StageJobState &other, const StageJobState &job) const;
    double standing(const StageJobState &job) const;
    void enqueue(StageJobState &job, std::size_t stage, framework::TimePoint now);
    void enqueueReady(StageJobState &job, framework::TimePoint now);

    void refuseLate(framework::TimePoint now);
    void dispatchAll(framework::TimePoint now);
    void dispatch(const framework::ServiceId &service, UnitQueue &queue, framework::TimePoint now);
    std::vector<const membership::BackendServerEntry *>
    idleServers(const framework::ServiceId &service, const serving::StagePool &pool,
                framework::TimePoint now);
    bool suits(const membership::BackendServerEntry &server, const StageUnit &unit,
               const serving::StagePool &pool, framework::TimePoint now);
    bool hasServerIn(const framework::ServiceId &service, const framework::AvailabilityZoneId &zone,
                     framework::TimePoint now);
    void startCall(const membership::BackendServerEntry &server, const serving::StagePool &pool,
                   UnitQueue &queue, framework::TimePoint now);

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
    StageJobState *find(JobNumber number);
    JobNumber numberOf(const JobKey &key) const;

    const membership::IBackendServers &m_servers;
    StageLimits m_limits;
    JobNumber m_nextJob = 1;
    StageCallId m_nextCall{1};
    std::map<JobNumber, std::unique_ptr<StageJobState>> m_jobs;
    std::map<JobKey, JobNumber> m_numbers;
    std::map<framework::ServiceId, UnitQueue> m_queues;
    std::map<StageCallId, RunningCall> m_calls;
    ResultLedger m_ledger;
    StageEstimator m_estimator;
    RouteShares m_shares;
    std::vector<framework::StageResultId> m_toFree;
    std::vector<StageCommand> m_commands;
    framework::TimePoint m_nextWake = framework::TimePoint::never();
};

} // namespace lavendertally::stages
