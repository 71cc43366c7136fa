#include "stages/internal/jobtable.h"

#include "stages/types/stagecoordinatoroptions.h"

namespace lavendertally::stages {

namespace {

JobClass classOf(const StageJobState &job)
{
    return {job.job().route, job.job().priority};
}

} // namespace

JobTable::JobTable(const StageCoordinatorOptions &options) : m_options(options) { }

JobTable::~JobTable() = default;

StageJobState &JobTable::add(const JobKey &key, const protocol::StageJob &job,
                             framework::TimePoint now)
{
    const JobNumber number = m_nextNumber;
    m_nextNumber = m_nextNumber.next();
    m_numbers[key] = number;
    IJobProgressObserver &observer = *this;
    auto state = std::make_unique<StageJobState>(number, key, job, now, observer);
    StageJobState &added = *m_jobs.emplace(number, std::move(state)).first->second;
    m_unstarted[classOf(added)].emplace(number, &added);
    for (std::size_t stage = 0; stage < added.stageCount(); ++stage) {
        onWaitingChanged(added, stage, added.waitingPieces(stage));
    }
    return added;
}

void JobTable::erase(const StageJobState &job)
{
    for (std::size_t stage = 0; stage < job.stageCount(); ++stage) {
        onWaitingChanged(job, stage, -static_cast<std::int64_t>(job.waitingPieces(stage)));
    }
    if (!job.hasStarted()) {
        eraseUnstarted(job);
    }
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

framework::TimePoint JobTable::dueTime(const StageJobState &job) const
{
    return job.objective()
        + m_options.headStartPerRank * static_cast<std::int64_t>(job.job().priority.value());
}

std::int64_t JobTable::piecesAhead(const StageJobState &job,
                                   const framework::ServiceId &service) const
{
    std::int64_t own = 0;
    for (std::size_t stage = 0; stage < job.stageCount(); ++stage) {
        own += job.stage(stage).service == service ? job.waitingPieces(stage) : 0;
    }
    return m_waiting.dueBy(service, dueTime(job)) - own;
}

void JobTable::onWaitingChanged(const StageJobState &job, std::size_t stage, std::int64_t change)
{
    if (change != 0) {
        m_waiting.change(job.stage(stage).service, dueTime(job), change);
    }
}

void JobTable::onStarted(const StageJobState &job)
{
    eraseUnstarted(job);
}

void JobTable::eraseUnstarted(const StageJobState &job)
{
    const auto found = m_unstarted.find(classOf(job));
    found->second.erase(job.number());
    if (found->second.empty()) {
        m_unstarted.erase(found);
    }
}

} // namespace lavendertally::stages
