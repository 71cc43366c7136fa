#include "stages/internal/jobadmission.h"

#include "membership/ibackendservers.h"
#include "stages/internal/batchdispatcher.h"
#include "stages/internal/jobtable.h"
#include "stages/internal/routeshares.h"
#include "stages/internal/stageestimator.h"
#include "stages/types/stagelimits.h"

#include <algorithm>

namespace lavendertally::stages {

JobAdmission::JobAdmission(const JobTable &jobs, const BatchDispatcher &dispatcher,
                           const membership::IBackendServers &servers, StageEstimator &estimator,
                           const RouteShares &shares, const StageLimits &limits)
    : m_jobs(jobs), m_dispatcher(dispatcher), m_servers(servers), m_estimator(estimator),
      m_shares(shares), m_limits(limits)
{ }

bool JobAdmission::canRun(const protocol::StageJob &job) const
{
    return std::all_of(job.stages.begin(), job.stages.end(),
                       [this](const protocol::JobStage &stage) {
                           return m_estimator.findPool(stage.service) != nullptr
                               && !m_servers.admitting(stage.service).empty();
                       });
}

framework::Milliseconds JobAdmission::lateness(const StageJobState &job, framework::TimePoint now)
{
    estimateAhead(job, now);
    return m_estimator.finish(job, now) + m_shares.margin() - job.objective();
}

/// Adds up the work that is served before \p job.
void JobAdmission::estimateAhead(const StageJobState &job, framework::TimePoint now)
{
    m_estimator.reset();
    const framework::TimePoint rank = m_estimator.rank(job);
    for (const auto &[number, other] : m_jobs.all()) {
        if (other.get() != &job && m_estimator.rank(*other) <= rank) {
            m_estimator.add(*other);
        }
    }
    for (const auto &[id, call] : m_dispatcher.calls()) {
        m_estimator.add(call.server.service, call.started + call.expected - now);
    }
}

/// \return a job that has cost nothing yet, is served before \p job where it waits longest, and
/// has to give way to it; the one that is best off
StageJobState *JobAdmission::findVictim(const StageJobState &job, framework::TimePoint now)
{
    const framework::ServiceId bottleneck = m_estimator.bottleneck(job, now);
    const framework::TimePoint rank = m_estimator.rank(job);
    StageJobState *victim = nullptr;
    for (const auto &[number, other] : m_jobs.all()) {
        const bool ahead = other.get() != &job && m_estimator.rank(*other) <= rank;
        if (!ahead || other->hasStarted() || !other->waitsFor(bottleneck)
            || !givesWay(*other, job)) {
            continue;
        }
        if (victim == nullptr || standing(*other) > standing(*victim)) {
            victim = other.get();
        }
    }
    return victim;
}

bool JobAdmission::givesWay(const StageJobState &other, const StageJobState &job) const
{
    if (other.job().route == job.job().route) {
        return other.job().worth * m_limits.worthRatio <= job.job().worth;
    }
    return standing(other) > standing(job) + m_limits.sharePerRank / 2;
}

/// How well off the job's route is; a less urgent one counts as better off.
double JobAdmission::standing(const StageJobState &job) const
{
    return m_shares.share(job.job().route)
        + m_limits.sharePerRank * static_cast<double>(job.job().priority.value());
}

} // namespace lavendertally::stages
