#pragma once

#include "stages/internal/stagejobstate.h"
#include "stages/types/jobkey.h"

#include <map>
#include <memory>
#include <vector>

namespace lavendertally::stages {

/// Unfinished jobs, indexed by number and by key.
class JobTable
{
public:
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
    bool isEmpty() const { return m_jobs.empty(); }

private:
    JobNumber m_nextNumber{1};
    std::map<JobNumber, std::unique_ptr<StageJobState>> m_jobs;
    std::map<JobKey, JobNumber> m_numbers;
};

} // namespace lavendertally::stages
