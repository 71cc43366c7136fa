#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "stages/internal/runningcall.h"
#include "stages/types/stagecallid.h"
#include "stages/types/startstagecall.h"

#include <map>
#include <optional>
#include <vector>

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::serving {
struct StagePool;
}

namespace lavendertally::stages {

class ResultTracker;
class StageEstimator;
class StageQueue;
struct StageCoordinatorOptions;
struct QueuedStage;

/// Sends a batch of waiting pieces to each available backend server and tracks the calls in flight.
class BatchDispatcher
{
public:
    BatchDispatcher(const membership::IBackendServers &servers, const StageEstimator &estimator,
                    ResultTracker &resultTracker, const StageCoordinatorOptions &options);

    /// Fills calls to the available backend servers of a service from its queue.
    /// \return calls to send now
    std::vector<StartStageCall> dispatch(const framework::ServiceId &service, StageQueue &queue,
                                         framework::TimePoint now);

    /// Removes a call that has ended.
    /// \return the call, or nothing if the id is unknown
    std::optional<RunningCall> removeCall(StageCallId call);

    /// \return calls in flight
    const std::map<StageCallId, RunningCall> &calls() const { return m_calls; }
    std::map<StageCallId, RunningCall> &calls() { return m_calls; }

private:
    std::vector<const membership::BackendServerEntry *>
    findAvailableServers(const framework::ServiceId &service, const serving::StagePool &pool,
                         framework::TimePoint now);
    bool isSuitable(const membership::BackendServerEntry &server, const QueuedStage &queued,
                    const serving::StagePool &pool, framework::TimePoint now);
    bool hasUsableServerIn(const framework::ServiceId &service,
                           const framework::AvailabilityZoneId &zone, framework::TimePoint now);
    std::optional<StartStageCall> makeCall(const membership::BackendServerEntry &server,
                                           const serving::StagePool &pool, StageQueue &queue,
                                           framework::TimePoint now);

    const membership::IBackendServers &m_servers;
    const StageEstimator &m_estimator;
    ResultTracker &m_resultTracker;
    const StageCoordinatorOptions &m_options;
    StageCallId m_nextCall{1};
    std::map<StageCallId, RunningCall> m_calls;
};

} // namespace lavendertally::stages
