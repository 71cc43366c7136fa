#pragma once

#include "stages/internal/ijobprogressobserver.h"
#include "stages/internal/jobclass.h"
#include "stages/internal/stagejobstate.h"
#include "stages/internal/waitingpieces.h"
#include "stages/types/jobkey.h"

#include <map>
#include <memory>
#include <vector>

namespace lavendertally::stages {

struct StageCoordinatorOptions;

/// Unfinished jobs, indexed by what admission and dispatch ask for.
class JobTable final : private IJobProgressObserver
{
public:
    using JobsByNumber = std::map<JobNumber, StageJobState *>;

    explicit JobTable(const StageCoordinatorOptions &options);
    ~JobTable() override;
    JobTable(const JobTable &) = delete;
    JobTable &operator=(const JobTable &) = delete;

    StageJobState &add(const JobKey &key, const protocol::StageJob &job, framework::TimePoint now);
    void erase(const StageJobState &job);

    /// \return the job, or null
    StageJobState *find(JobNumber number) const;
    /// \return the job, or null
    StageJobState *find(const JobKey &key) const;
    /// \return keys of the jobs of one daemon
    std::vector<JobKey> keysOf(const framework::DaemonId &owner) const;
    /// \return all jobs in the order of submission
    const std::map<JobNumber, std::unique_ptr<StageJobState>> &all() const { return m_jobs; }
    /// \return jobs of which no piece has been sent, in the order of submission
    const std::map<JobClass, JobsByNumber> &unstarted() const { return m_unstarted; }
    bool isEmpty() const { return m_jobs.empty(); }

    /// \return time by which jobs are ordered: the objective plus a delay per priority rank, which
    /// gives more urgent jobs a head start
    framework::TimePoint dueTime(const StageJobState &job) const;

    /// \return waiting pieces of the other jobs that are due no later than \p job
    std::int64_t piecesAhead(const StageJobState &job, const framework::ServiceId &service) const;

private:
    void onWaitingChanged(const StageJobState &job, std::size_t stage,
                          std::int64_t change) override;
    void onStarted(const StageJobState &job) override;
    void eraseUnstarted(const StageJobState &job);

    const StageCoordinatorOptions &m_options;
    JobNumber m_nextNumber{1};
    std::map<JobNumber, std::unique_ptr<StageJobState>> m_jobs;
    std::map<JobKey, JobNumber> m_numbers;
    std::map<JobClass, JobsByNumber> m_unstarted;
    WaitingPieces m_waiting;
};

} // namespace lavendertally::stages
