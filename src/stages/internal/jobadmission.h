#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::protocol {
struct StageJob;
}

namespace lavendertally::stages {

class BatchDispatcher;
class JobTable;
class RouteShares;
class StageEstimator;
class StageJobState;
struct StageLimits;

/// Decides which jobs are taken: those that the work ahead lets finish in time. Among routes, the
/// one of whose jobs less was done in time goes first; within a route, what is worth more.
class JobAdmission
{
public:
    JobAdmission(const JobTable &jobs, const BatchDispatcher &dispatcher,
                 const membership::IBackendServers &servers, StageEstimator &estimator,
                 const RouteShares &shares, const StageLimits &limits);

    /// \return whether each of the job's stages has a backend server
    bool canRun(const protocol::StageJob &job) const;

    /// \return by how much the job would be late; zero or less if it would be in time
    framework::Milliseconds lateness(const StageJobState &job, framework::TimePoint now);

    /// Call it after lateness().
    /// \return a job that has cost nothing yet, is served before \p job where that waits longest,
    /// and has to give way to it; the one that is best off, or null
    StageJobState *findVictim(const StageJobState &job, framework::TimePoint now);

private:
    void estimateAhead(const StageJobState &job, framework::TimePoint now);
    bool givesWay(const StageJobState &other, const StageJobState &job) const;
    double standing(const StageJobState &job) const;

    const JobTable &m_jobs;
    const BatchDispatcher &m_dispatcher;
    const membership::IBackendServers &m_servers;
    StageEstimator &m_estimator;
    const RouteShares &m_shares;
    const StageLimits &m_limits;
};

} // namespace lavendertally::stages
