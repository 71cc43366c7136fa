#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "stages/types/stagecoordinatoroptions.h"

#include <map>
#include <optional>

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::serving {
class IServingState;
struct StagePool;
} // namespace lavendertally::serving

namespace lavendertally::stages {

class ResultTracker;
class StageJobState;

/// Estimates how long stages run and how long they wait behind other work.
class StageEstimator
{
public:
    StageEstimator(const serving::IServingState &serving,
                   const membership::IBackendServers &servers, ResultTracker &resultTracker,
                   const StageCoordinatorOptions &options);

    /// \return configuration of the pool that runs the stages of a service, or null if it has none
    const serving::StagePool *findPool(const framework::ServiceId &service) const;

    /// \return duration of the longest path from the start of the stage to the end of the job, with
    /// half-full batches and without waiting
    framework::Milliseconds criticalPathTime(const StageJobState &job, std::size_t stage) const;

    /// \return time by which jobs are ordered: the objective plus a delay per priority rank, which
    /// gives more urgent jobs a head start
    framework::TimePoint effectiveDueTime(const StageJobState &job) const;

    /// Starts a new estimate of the work ahead of a job.
    void clearWorkAhead() { m_workAheadMs.clear(); }
    /// Adds the waiting pieces of \p job.
    void addWorkAhead(const StageJobState &job);
    /// Adds a call in flight.
    /// \param remaining expected time until it ends; negative if it is overdue
    void addWorkAhead(const framework::ServiceId &service, framework::Milliseconds remaining);

    /// \return time at which the job would be done behind the work that was added
    framework::TimePoint expectedCompletion(const StageJobState &job, framework::TimePoint now);

    /// \return service whose backend servers the job would wait for longest
    framework::ServiceId bottleneck(const StageJobState &job, framework::TimePoint now);

private:
    framework::Milliseconds expectedWait(const framework::ServiceId &service,
                                         framework::TimePoint now);
    double effectiveServerCount(const framework::ServiceId &service, framework::TimePoint now);

    const serving::IServingState &m_serving;
    const membership::IBackendServers &m_servers;
    ResultTracker &m_resultTracker;
    const StageCoordinatorOptions &m_options;
    /// Work ahead per service, as time of a single backend server.
    std::map<framework::ServiceId, double> m_workAheadMs;
};

} // namespace lavendertally::stages
