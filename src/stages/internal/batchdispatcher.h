#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "stages/internal/runningcall.h"
#include "stages/types/stagecallid.h"
#include "stages/types/startstagecall.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
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
struct StagePool;
}

namespace lavendertally::stages {

class ResultTracker;
class StageEstimator;
class StageQueue;
class StageServerState;
struct StageCoordinatorOptions;
struct QueuedStage;

/// Sends a batch of waiting pieces to each available backend server and tracks the calls in flight.
class BatchDispatcher
{
public:
    BatchDispatcher(const membership::IBackendServers &servers,
                    ratelimit::IServerRateLimits &rateLimits, const StageEstimator &estimator,
                    ResultTracker &resultTracker, const StageCoordinatorOptions &options,
                    std::vector<routing::IServerFilter *> filters);

    /// Fills calls to the available backend servers of a service from its queue.
    /// \return calls to send now
    std::vector<StartStageCall> dispatch(const framework::ServiceId &service, StageQueue &queue,
                                         framework::TimePoint now);

    /// Removes a call that has ended. The filters are told of it.
    /// \return the call, or nothing if the id is unknown
    std::optional<RunningCall> removeCall(StageCallId call, framework::TimePoint now);

    /// \return time until the calls in flight to a service are expected to end, added up; calls
    /// that are overdue count as ended
    framework::Milliseconds timeInFlight(const framework::ServiceId &service,
                                         framework::TimePoint now) const;

    /// \return calls in flight
    const std::map<StageCallId, RunningCall> &calls() const { return m_calls; }
    std::map<StageCallId, RunningCall> &calls() { return m_calls; }

private:
    /// Backend server that may receive a call, with what decides which stages suit it.
    struct CallTarget
    {
        const membership::BackendServerEntry &server;
        StageServerState &state;
        /// Zones in which some backend server of the service is not paused.
        const std::set<framework::AvailabilityZoneId> &usableZones;
    };

    std::vector<const membership::BackendServerEntry *>
    findAvailableServers(const framework::ServiceId &service, const serving::StagePool &pool,
                         framework::TimePoint now);
    std::vector<const membership::BackendServerEntry *>
    permitted(std::vector<const membership::BackendServerEntry *> servers,
              const framework::ServiceId &service, framework::TimePoint now) const;
    void preferFiltered(std::vector<const membership::BackendServerEntry *> &servers,
                        const framework::ServiceId &service, framework::TimePoint now) const;
    bool isSuitable(const CallTarget &target, const QueuedStage &queued,
                    const serving::StagePool &pool, framework::TimePoint now) const;
    std::set<framework::AvailabilityZoneId> usableZones(const framework::ServiceId &service,
                                                        framework::TimePoint now);
    std::optional<StartStageCall> makeCall(const CallTarget &target, const serving::StagePool &pool,
                                           const StageQueue &queue, framework::TimePoint now);

    const membership::IBackendServers &m_servers;
    ratelimit::IServerRateLimits &m_rateLimits;
    const StageEstimator &m_estimator;
    ResultTracker &m_resultTracker;
    const StageCoordinatorOptions &m_options;
    std::vector<routing::IServerFilter *> m_filters;
    StageCallId m_nextCall{1};
    std::map<StageCallId, RunningCall> m_calls;
    /// Expected ends of the calls in flight to each service.
    std::unordered_map<framework::ServiceId, std::map<StageCallId, framework::TimePoint>>
        m_expectedEnds;
};

} // namespace lavendertally::stages
