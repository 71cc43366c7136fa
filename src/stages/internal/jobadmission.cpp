#include "stages/internal/jobadmission.h"

#include "membership/ibackendservers.h"
#include "stages/internal/batchdispatcher.h"
#include "stages/internal/jobclass.h"
#include "stages/internal/jobtable.h"
#include "stages/internal/routeattainment.h"
#include "stages/internal/stageestimator.h"
#include "stages/types/stagecoordinatoroptions.h"

#include <algorithm>

namespace lavendertally::stages {

JobAdmission::JobAdmission(const JobTable &jobs, const BatchDispatcher &dispatcher,
                           const membership::IBackendServers &servers, StageEstimator &estimator,
                           const RouteAttainment &attainment,
                           const StageCoordinatorOptions &options)
    : m_jobs(jobs), m_dispatcher(dispatcher), m_servers(servers), m_estimator(estimator),
      m_attainment(attainment), m_options(options)
{ }

bool JobAdmission::canRun(const protocol::StageJob &job) const
{
    return std::all_of(job.stages.begin(), job.stages.end(),
                       [this](const protocol::JobStage &stage) {
                           return m_estimator.findPool(stage.service) != nullptr
                               && !m_servers.admitting(stage.service).empty();
                       });
}

framework::Milliseconds JobAdmission::expectedLateness(const StageJobState &job,
                                                       framework::TimePoint now)
{
    estimateWaits(job, now);
    return m_estimator.expectedCompletion(job, now) + m_attainment.safetyMargin() - job.objective();
}

/// A job waits for the pieces of the jobs that are due before it and for the calls in flight.
void JobAdmission::estimateWaits(const StageJobState &job, framework::TimePoint now)
{
    m_estimator.clearWaits();
    for (std::size_t stage = 0; stage < job.stageCount(); ++stage) {
        const framework::ServiceId &service = job.stage(stage).service;
        m_estimator.addWait(service, m_jobs.piecesAhead(job, service),
                            m_dispatcher.timeInFlight(service, now), now);
    }
}

StageJobState *JobAdmission::findEvictableJob(const StageJobState &job) const
{
    const framework::ServiceId bottleneck = m_estimator.bottleneck(job);
    const framework::TimePoint dueTime = m_jobs.dueTime(job);
    const double ownAttainment = weightedAttainment({job.job().route, job.job().priority});
    StageJobState *evictable = nullptr;
    double highest = 0.0;
    for (const auto &[jobClass, members] : m_jobs.unstarted()) {
        const double attainment = weightedAttainment(jobClass);
        const bool isServedBetter = attainment > ownAttainment + m_options.attainmentPerRank / 2;
        const bool isSameRoute = jobClass.route == job.job().route;
        if ((!isSameRoute && !isServedBetter) || (evictable != nullptr && attainment <= highest)) {
            continue;
        }
        const auto found = std::find_if(members.begin(), members.end(), [&](const auto &member) {
            const StageJobState &other = *member.second;
            return &other != &job && m_jobs.dueTime(other) <= dueTime
                && (!isSameRoute || isWorthEvicting(other, job))
                && other.hasWaitingPieces(bottleneck);
        });
        if (found != members.end()) {
            evictable = found->second;
            highest = attainment;
        }
    }
    return evictable;
}

/// \return whether \p job is worth enough more than \p other of the same route
bool JobAdmission::isWorthEvicting(const StageJobState &other, const StageJobState &job) const
{
    return other.job().worth * m_options.evictionWorthRatio <= job.job().worth;
}

/// \return attainment of the route, raised per priority rank so that a less urgent route counts as
/// better served
double JobAdmission::weightedAttainment(const JobClass &jobClass) const
{
    return m_attainment.attainment(jobClass.route)
        + m_options.attainmentPerRank * static_cast<double>(jobClass.priority.value());
}

} // namespace lavendertally::stages
