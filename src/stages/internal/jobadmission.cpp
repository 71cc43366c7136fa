#include "stages/internal/jobadmission.h"

#include "membership/ibackendservers.h"
#include "stages/internal/batchdispatcher.h"
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
    estimateWorkAhead(job, now);
    return m_estimator.expectedCompletion(job, now) + m_attainment.safetyMargin() - job.objective();
}

/// Adds up the work of the jobs that are due before \p job and of all calls in flight.
void JobAdmission::estimateWorkAhead(const StageJobState &job, framework::TimePoint now)
{
    m_estimator.clearWorkAhead();
    const framework::TimePoint dueTime = m_estimator.effectiveDueTime(job);
    for (const auto &[number, other] : m_jobs.all()) {
        if (other.get() != &job && m_estimator.effectiveDueTime(*other) <= dueTime) {
            m_estimator.addWorkAhead(*other);
        }
    }
    for (const auto &[id, call] : m_dispatcher.calls()) {
        m_estimator.addWorkAhead(call.server.service, call.started + call.expected - now);
    }
}

StageJobState *JobAdmission::findEvictableJob(const StageJobState &job, framework::TimePoint now)
{
    const framework::ServiceId bottleneck = m_estimator.bottleneck(job, now);
    const framework::TimePoint dueTime = m_estimator.effectiveDueTime(job);
    StageJobState *evictable = nullptr;
    for (const auto &[number, other] : m_jobs.all()) {
        const bool isAhead = other.get() != &job && m_estimator.effectiveDueTime(*other) <= dueTime;
        if (!isAhead || other->hasStarted() || !other->hasWaitingPieces(bottleneck)
            || !mayBeEvictedFor(*other, job)) {
            continue;
        }
        if (evictable == nullptr || weightedAttainment(*other) > weightedAttainment(*evictable)) {
            evictable = other.get();
        }
    }
    return evictable;
}

/// \return whether \p job is worth enough more on the same route, or its route is served enough
/// worse
bool JobAdmission::mayBeEvictedFor(const StageJobState &other, const StageJobState &job) const
{
    if (other.job().route == job.job().route) {
        return other.job().worth * m_options.evictionWorthRatio <= job.job().worth;
    }
    return weightedAttainment(other) > weightedAttainment(job) + m_options.attainmentPerRank / 2;
}

/// \return attainment of the job's route, raised per priority rank so that a less urgent route
/// counts as better served
double JobAdmission::weightedAttainment(const StageJobState &job) const
{
    return m_attainment.attainment(job.job().route)
        + m_options.attainmentPerRank * static_cast<double>(job.job().priority.value());
}

} // namespace lavendertally::stages
