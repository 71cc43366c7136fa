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

class ResultLedger;
class StageEstimator;
class UnitQueue;
struct StageLimits;
struct StageUnit;

/// Hands a batch to each backend server that is idle, and keeps the calls under way.
class BatchDispatcher
{
public:
    BatchDispatcher(const membership::IBackendServers &servers, const StageEstimator &estimator,
                    ResultLedger &ledger, const StageLimits &limits);

    /// \return calls to make now
    std::vector<StartStageCall> dispatch(const framework::ServiceId &service, UnitQueue &queue,
                                         framework::TimePoint now);

    /// Removes a call that has ended.
    /// \return the call, or nothing if it is not known
    std::optional<RunningCall> take(StageCallId call);

    const std::map<StageCallId, RunningCall> &calls() const { return m_calls; }
    std::map<StageCallId, RunningCall> &calls() { return m_calls; }

private:
    std::vector<const membership::BackendServerEntry *>
    idleServers(const framework::ServiceId &service, const serving::StagePool &pool,
                framework::TimePoint now);
    bool suits(const membership::BackendServerEntry &server, const StageUnit &unit,
               const serving::StagePool &pool, framework::TimePoint now);
    bool hasServerIn(const framework::ServiceId &service, const framework::AvailabilityZoneId &zone,
                     framework::TimePoint now);
    std::optional<StartStageCall> makeCall(const membership::BackendServerEntry &server,
                                           const serving::StagePool &pool, UnitQueue &queue,
                                           framework::TimePoint now);

    const membership::IBackendServers &m_servers;
    const StageEstimator &m_estimator;
    ResultLedger &m_ledger;
    const StageLimits &m_limits;
    StageCallId m_nextCall{1};
    std::map<StageCallId, RunningCall> m_calls;
};

} // namespace lavendertally::stages
