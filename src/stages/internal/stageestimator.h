#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "stages/types/stagecoordinatoroptions.h"

#include <map>
#include <optional>
#include <vector>

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::ratelimit {
class IServerRateLimits;
}

namespace lavendertally::routing {
class IServerFilter;
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
                   const membership::IBackendServers &servers,
                   const ratelimit::IServerRateLimits &rateLimits, ResultTracker &resultTracker,
                   const StageCoordinatorOptions &options,
                   std::vector<routing::IServerFilter *> filters);

    /// \return configuration of the pool that runs the stages of a service, or null if it has none
    const serving::StagePool *findPool(const framework::ServiceId &service) const;

    /// \return duration of the longest path from the start of the stage to the end of the job, with
    /// half-full batches and without waiting
    framework::Milliseconds criticalPathTime(const StageJobState &job, std::size_t stage) const;

    /// Starts a new estimate of the time that a job waits.
    void clearWaits() { m_waits.clear(); }
    /// Estimates how long a job waits for a backend server of a service.
    /// \param piecesAhead pieces that are sent before those of the job
    /// \param callsAhead time until the calls in flight end, added up
    void addWait(const framework::ServiceId &service, std::int64_t piecesAhead,
                 framework::Milliseconds callsAhead, framework::TimePoint now);

    /// \return time at which the job would be done after the waits that were added
    framework::TimePoint expectedCompletion(const StageJobState &job,
                                            framework::TimePoint now) const;

    /// \return service whose backend servers the job would wait for longest
    framework::ServiceId bottleneck(const StageJobState &job) const;

private:
    framework::Milliseconds waitFor(const framework::ServiceId &service) const;
    double effectiveServerCount(const framework::ServiceId &service, framework::TimePoint now);
    double callsInBatchTime(const framework::ServiceId &service,
                            framework::RequestRate limit) const;

    const serving::IServingState &m_serving;
    const membership::IBackendServers &m_servers;
    const ratelimit::IServerRateLimits &m_rateLimits;
    ResultTracker &m_resultTracker;
    const StageCoordinatorOptions &m_options;
    std::vector<routing::IServerFilter *> m_filters;
    std::map<framework::ServiceId, framework::Milliseconds> m_waits;
};

} // namespace lavendertally::stages
