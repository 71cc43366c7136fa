#pragma once

#include "membership/ibackendservers.h"
#include "stages/internal/ijobprogressobserver.h"
#include "stages/internal/stagejobstate.h"
#include "stages/istagecoordinator.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace lavendertally::stages {

/// Baseline for comparison: sends one piece per call in the order of arrival and refuses nothing.
class FifoCoordinator final : public IStageCoordinator, private IJobProgressObserver
{
public:
    explicit FifoCoordinator(const membership::IBackendServers &servers) : m_servers(servers) { }

    void submit(const framework::DaemonId &owner, const protocol::StageJob &job,
                framework::TimePoint now) override
    {
        const JobKey key{owner, job.request};
        IJobProgressObserver &observer = *this;
        m_jobs[key] = std::make_unique<StageJobState>(JobNumber(), key, job, now, observer);
        ++m_unfinished;
        enqueue(*m_jobs[key]);
        dispatch();
    }
    void cancel(const JobKey & /*job*/, framework::TimePoint /*now*/) override { }
    void cancelAll(const framework::DaemonId & /*owner*/, framework::TimePoint /*now*/) override { }
    void handOver() override { }
    void release(const std::vector<framework::StageResultId> & /*results*/,
                 framework::TimePoint /*now*/) override
    { }
    void resultsFreed(const std::vector<framework::StageResultId> & /*results*/,
                      framework::TimePoint /*now*/) override
    { }
    void storageReported(const framework::BackendServerId & /*server*/, framework::Bytes /*free*/,
                         framework::TimePoint /*now*/) override
    { }
    bool hasJobs() const override { return m_unfinished > 0; }
    std::vector<protocol::StageHolding> holdings() const override { return {}; }
    void setPeerHoldings(const framework::DaemonId & /*daemon*/,
                         const std::vector<protocol::StageHolding> & /*holdings*/,
                         framework::TimePoint /*now*/) override
    { }
    void callEnded(StageCallId call, const StageCallOutcome &outcome,
                   framework::TimePoint /*now*/) override
    {
        const CallInFlight running = m_running.at(call);
        m_running.erase(call);
        m_busy.erase(running.server.id);
        StageJobState &job = *m_jobs.at(running.job);
        job.finishPiece(running.stage, running.piece,
                        {outcome.pieces.front().result, running.server.zone});
        if (job.isDone()) {
            --m_unfinished;
            m_commands.emplace_back(EndStageJob{
                running.job.owner,
                {running.job.request, protocol::StageJobStatus::Done, job.finalResults(), {}},
                "",
                {}});
        } else if (job.isStageDone(running.stage)) {
            enqueue(job);
        }
        dispatch();
    }
    void wake(framework::TimePoint /*now*/) override { }
    framework::TimePoint nextWake() const override { return framework::TimePoint::never(); }
    std::vector<StageCommand> takeCommands() override { return std::exchange(m_commands, {}); }

private:
    struct QueuedPiece
    {
        JobKey job;
        std::size_t stage;
    };
    struct CallInFlight
    {
        JobKey job;
        std::size_t stage;
        std::uint32_t piece;
        membership::BackendServerEntry server;
    };

    void onWaitingChanged(const StageJobState & /*job*/, std::size_t /*stage*/,
                          std::int64_t /*change*/) override
    { }
    void onStarted(const StageJobState & /*job*/) override { }

    void enqueue(StageJobState &job)
    {
        for (std::size_t stage = 0; stage < job.stageCount(); ++stage) {
            if (job.waitingPieces(stage) == job.stage(stage).pieces && job.isReady(stage)) {
                for (std::uint32_t piece = 0; piece < job.stage(stage).pieces; ++piece) {
                    m_queues[job.stage(stage).service].push_back({job.key(), stage});
                }
            }
        }
    }
    void dispatch()
    {
        for (auto &[service, queue] : m_queues) {
            for (const membership::BackendServerEntry *server : m_servers.admitting(service)) {
                if (queue.empty() || m_busy.contains(server->id)) {
                    continue;
                }
                const QueuedPiece next = queue.front();
                queue.pop_front();
                StageJobState &job = *m_jobs.at(next.job);
                const std::uint32_t piece = job.startPiece(next.stage);
                m_busy.insert(server->id);
                m_running[m_nextCall] = {next.job, next.stage, piece, *server};
                m_commands.emplace_back(StartStageCall{
                    m_nextCall,
                    *server,
                    {{next.job.request, job.stage(next.stage).index, piece,
                      framework::Milliseconds(0), job.job().input, job.inputs(next.stage)}},
                    framework::Milliseconds(60000)});
                m_nextCall = m_nextCall.next();
            }
        }
    }

    const membership::IBackendServers &m_servers;
    std::map<JobKey, std::unique_ptr<StageJobState>> m_jobs;
    std::map<framework::ServiceId, std::deque<QueuedPiece>> m_queues;
    std::set<framework::BackendServerId> m_busy;
    std::map<StageCallId, CallInFlight> m_running;
    StageCallId m_nextCall{1};
    std::vector<StageCommand> m_commands;
    std::size_t m_unfinished = 0;
};

} // namespace lavendertally::stages
