#include "stages/internal/batchdispatcher.h"

#include "membership/ibackendservers.h"
#include "ratelimit/iserverratelimits.h"
#include "routing/iserverfilter.h"
#include "routing/types/serverquery.h"
#include "serving/types/stagepool.h"
#include "stages/internal/resulttracker.h"
#include "stages/internal/stageestimator.h"
#include "stages/internal/stagejobstate.h"
#include "stages/internal/stagequeue.h"
#include "stages/types/stagecoordinatoroptions.h"

#include <algorithm>
#include <utility>

namespace lavendertally::stages {

BatchDispatcher::BatchDispatcher(const membership::IBackendServers &servers,
                                 ratelimit::IServerRateLimits &rateLimits,
                                 const StageEstimator &estimator, ResultTracker &resultTracker,
                                 const StageCoordinatorOptions &options,
                                 std::vector<routing::IServerFilter *> filters)
    : m_servers(servers), m_rateLimits(rateLimits), m_estimator(estimator),
      m_resultTracker(resultTracker), m_options(options), m_filters(std::move(filters))
{ }

std::optional<RunningCall> BatchDispatcher::removeCall(StageCallId call, framework::TimePoint now)
{
    auto node = m_calls.extract(call);
    if (node.empty()) {
        return std::nullopt;
    }
    m_expectedEnds[node.mapped().server.service].erase(call);
    for (routing::IServerFilter *filter : m_filters) {
        filter->callEnded(node.mapped().server.id, now);
    }
    return std::move(node.mapped());
}

framework::Milliseconds BatchDispatcher::timeInFlight(const framework::ServiceId &service,
                                                      framework::TimePoint now) const
{
    framework::Milliseconds total(0);
    if (const auto calls = m_expectedEnds.find(service); calls != m_expectedEnds.end()) {
        for (const auto &[call, end] : calls->second) {
            total += std::max(end - now, framework::Milliseconds(0));
        }
    }
    return total;
}

std::vector<StartStageCall> BatchDispatcher::dispatch(const framework::ServiceId &service,
                                                      StageQueue &queue, framework::TimePoint now)
{
    std::vector<StartStageCall> commands;
    const serving::StagePool *pool = m_estimator.findPool(service);
    if (pool == nullptr || queue.isEmpty()) {
        return commands;
    }
    const auto available = findAvailableServers(service, *pool, now);
    if (available.empty()) {
        return commands;
    }
    queue.sort(now);
    const std::set<framework::AvailabilityZoneId> zones = usableZones(service, now);
    for (const membership::BackendServerEntry *server : available) {
        // Each call may use up what the filters allow.
        if (permitted({server}, service, now).empty()) {
            continue;
        }
        const CallTarget target{*server, m_resultTracker.server(server->id), zones};
        if (auto command = makeCall(target, *pool, queue, now)) {
            commands.push_back(std::move(*command));
            queue.removeFullySent();
        }
    }
    return commands;
}

/// \return backend servers that can accept a call, the fastest first
std::vector<const membership::BackendServerEntry *>
BatchDispatcher::findAvailableServers(const framework::ServiceId &service,
                                      const serving::StagePool &pool, framework::TimePoint now)
{
    std::vector<std::pair<std::int64_t, const membership::BackendServerEntry *>> candidates;
    for (const membership::BackendServerEntry *server :
         permitted(m_servers.admitting(service), service, now)) {
        const StageServerState &state = m_resultTracker.server(server->id);
        if (state.calls() < pool.slots && !state.isPaused(now)
            && state.storedBytes() < pool.resultCapacity && m_rateLimits.mayCall(server->id, now)) {
            // Whole multiples of the call overhead: sorting by smaller differences would cause
            // transfers between zones that cost more than the gain.
            const std::int64_t overheadMs = std::max<std::int64_t>(pool.callOverhead.value(), 1);
            candidates.emplace_back(
                state.predictedTime(pool.callOverhead, now).value() / overheadMs, server);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<const membership::BackendServerEntry *> servers;
    servers.reserve(candidates.size());
    for (const auto &[slowdown, server] : candidates) {
        servers.push_back(server);
    }
    preferFiltered(servers, service, now);
    return servers;
}

std::vector<const membership::BackendServerEntry *>
BatchDispatcher::permitted(std::vector<const membership::BackendServerEntry *> servers,
                           const framework::ServiceId &service, framework::TimePoint now) const
{
    routing::ServerQuery query;
    query.service = service;
    for (routing::IServerFilter *filter : m_filters) {
        filter->restrict(query, servers, now);
    }
    return servers;
}

/// Moves the servers that the filters prefer to the front.
void BatchDispatcher::preferFiltered(std::vector<const membership::BackendServerEntry *> &servers,
                                     const framework::ServiceId &service,
                                     framework::TimePoint now) const
{
    if (m_filters.empty() || servers.empty()) {
        return;
    }
    routing::ServerQuery query;
    query.service = service;
    auto preferred = servers;
    for (routing::IServerFilter *filter : m_filters) {
        filter->prefer(query, preferred, now);
    }
    std::stable_partition(servers.begin(), servers.end(), [&preferred](const auto *server) {
        return std::find(preferred.begin(), preferred.end(), server) != preferred.end();
    });
}

/// \return whether the backend server may run the stage. It must be in the preferred zone, unless
/// the stage has too little slack to wait for one there or none there is usable. It must not be
/// more than twice as slow as configured if the extra time exceeds the slack; a late stage runs at
/// any speed.
bool BatchDispatcher::isSuitable(const CallTarget &target, const QueuedStage &queued,
                                 const serving::StagePool &pool, framework::TimePoint now) const
{
    const framework::Milliseconds slack = queued.latestStart - now;
    if (slack.value() >= 0) {
        const framework::Milliseconds delay =
            target.state.predictedTime(pool.callOverhead, now) - pool.callOverhead;
        if (delay > pool.callOverhead && delay > slack) {
            return false;
        }
    }
    const bool isZoneSuitable =
        queued.preferredZone.isEmpty() || queued.preferredZone == target.server.zone;
    return isZoneSuitable || slack < m_options.zoneAffinityMinSlack
        || !target.usableZones.contains(queued.preferredZone);
}

std::set<framework::AvailabilityZoneId>
BatchDispatcher::usableZones(const framework::ServiceId &service, framework::TimePoint now)
{
    std::set<framework::AvailabilityZoneId> zones;
    for (const membership::BackendServerEntry *server : m_servers.admitting(service)) {
        if (!m_resultTracker.server(server->id).isPaused(now)) {
            zones.insert(server->zone);
        }
    }
    return zones;
}

std::optional<StartStageCall> BatchDispatcher::makeCall(const CallTarget &target,
                                                        const serving::StagePool &pool,
                                                        const StageQueue &queue,
                                                        framework::TimePoint now)
{
    StageServerState &state = target.state;
    framework::Bytes freeStorage = pool.resultCapacity - state.storedBytes();
    RunningCall call{target.server, {}, now, {}, pool.resultLifetime, {}};
    StartStageCall command{m_nextCall, target.server, {}, {}};
    for (const QueuedStage &queued : queue.stages()) {
        if (queued.notBefore > now || command.pieces.size() == pool.batchSize) {
            break;
        }
        StageJobState &job = *queued.job;
        if (!job.hasInputs(queued.stage) || !isSuitable(target, queued, pool, now)) {
            continue;
        }
        const protocol::JobStage &stage = job.stage(queued.stage);
        while (command.pieces.size() < pool.batchSize && job.waitingPieces(queued.stage) > 0
               && stage.resultSize <= freeStorage) {
            const std::uint32_t piece = job.startPiece(queued.stage);
            command.pieces.push_back({job.key().request, stage.index, piece, job.deadline() - now,
                                      job.job().input, job.inputs(queued.stage)});
            call.pieces.push_back({job.number(), queued.stage, piece, stage.resultSize,
                                   command.pieces.back().inputs});
            call.reservedStorage += stage.resultSize;
            freeStorage -= stage.resultSize;
        }
    }
    if (command.pieces.empty()) {
        return std::nullopt;
    }
    call.expected = pool.batchTime(static_cast<std::uint32_t>(command.pieces.size()));
    const auto predictedMs = static_cast<double>(state.predictedTime(call.expected, now).value());
    command.timeout = m_options.timeoutSlack
        + framework::Milliseconds(static_cast<std::int64_t>(predictedMs * m_options.timeoutFactor));
    call.mayFreeInputsEarly = state.isHealthy();
    state.callStarted();
    m_rateLimits.callSent(target.server.id, now);
    for (routing::IServerFilter *filter : m_filters) {
        filter->callStarted(target.server, now);
    }
    state.addStored(call.reservedStorage);
    m_expectedEnds[target.server.service].emplace(m_nextCall, now + call.expected);
    m_calls.emplace(m_nextCall, std::move(call));
    m_nextCall = m_nextCall.next();
    return command;
}

} // namespace lavendertally::stages
