#include "stages/internal/jobtable.h"

namespace lavendertally::stages {

StageJobState &JobTable::add(const JobKey &key, const protocol::StageJob &job,
                             framework::TimePoint now)
{
    const JobNumber number = m_nextNumber;
    m_nextNumber = m_nextNumber.next();
    m_numbers[key] = number;
    auto state = std::make_unique<StageJobState>(number, key, job, now);
    return *m_jobs.emplace(number, std::move(state)).first->second;
}

void JobTable::erase(const StageJobState &job)
{
    m_numbers.erase(job.key());
    m_jobs.erase(job.number());
}

StageJobState *JobTable::find(JobNumber number) const
{
    const auto found = m_jobs.find(number);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

StageJobState *JobTable::find(const JobKey &key) const
{
    const auto found = m_numbers.find(key);
    return found == m_numbers.end() ? nullptr : find(found->second);
}

std::vector<JobKey> JobTable::keysOf(const framework::DaemonId &owner) const
{
    std::vector<JobKey> keys;
    for (const auto &[key, number] : m_numbers) {
        if (key.owner == owner) {
            keys.push_back(key);
        }
    }
    return keys;
}

} // namespace lavendertally::stages
