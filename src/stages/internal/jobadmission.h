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
struct JobClass;
class JobTable;
class RouteAttainment;
class StageEstimator;
class StageJobState;
struct StageCoordinatorOptions;

/// Admission control: admits the jobs that are expected to meet their objective behind the work
/// ahead of them. Between routes, the one with the lower attainment takes precedence; within a
/// route, the job that is worth more.
class JobAdmission
{
public:
    JobAdmission(const JobTable &jobs, const BatchDispatcher &dispatcher,
                 const membership::IBackendServers &servers, StageEstimator &estimator,
                 const RouteAttainment &attainment, const StageCoordinatorOptions &options);

    /// \return whether each stage of the job has a backend server that admits calls
    bool canRun(const protocol::StageJob &job) const;

    /// Estimates the lateness of a job behind all work that is due before it.
    /// \return time by which the job would miss its objective; zero or less if it would meet it
    framework::Milliseconds expectedLateness(const StageJobState &job, framework::TimePoint now);

    /// Finds an unstarted job that is ahead of \p job at its bottleneck and may be evicted for it.
    /// To be called after expectedLateness() for the same job, whose estimate it uses. \return the
    /// one with the highest weighted attainment, or null
    StageJobState *findEvictableJob(const StageJobState &job) const;

private:
    void estimateWaits(const StageJobState &job, framework::TimePoint now);
    bool isWorthEvicting(const StageJobState &other, const StageJobState &job) const;
    double weightedAttainment(const JobClass &jobClass) const;

    const JobTable &m_jobs;
    const BatchDispatcher &m_dispatcher;
    const membership::IBackendServers &m_servers;
    StageEstimator &m_estimator;
    const RouteAttainment &m_attainment;
    const StageCoordinatorOptions &m_options;
};

} // namespace lavendertally::stages
