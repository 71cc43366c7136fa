#include "stages/internal/batchdispatcher.h"

#include "membership/ibackendservers.h"
#include "serving/types/stagepool.h"
#include "stages/internal/resultledger.h"
#include "stages/internal/stageestimator.h"
#include "stages/internal/stagejobstate.h"
#include "stages/internal/unitqueue.h"
#include "stages/types/stagelimits.h"

#include <algorithm>
#include <utility>

namespace lavendertally::stages {

BatchDispatcher::BatchDispatcher(const membership::IBackendServers &servers,
                                 const StageEstimator &estimator, ResultLedger &ledger,
                                 const StageLimits &limits)
    : m_servers(servers), m_estimator(estimator), m_ledger(ledger), m_limits(limits)
{ }

std::optional<RunningCall> BatchDispatcher::take(StageCallId call)
{
    auto node = m_calls.extract(call);
    if (node.empty()) {
        return std::nullopt;
    }
    return std::move(node.mapped());
}

std::vector<StartStageCall> BatchDispatcher::dispatch(const framework::ServiceId &service,
                                                      UnitQueue &queue, framework::TimePoint now)
{
    std::vector<StartStageCall> commands;
    const serving::StagePool *pool = m_estimator.findPool(service);
    if (pool == nullptr || queue.isEmpty()) {
        return commands;
    }
    for (const membership::BackendServerEntry *server : idleServers(service, *pool, now)) {
        queue.sort(now);
        if (auto command = makeCall(*server, *pool, queue, now)) {
            commands.push_back(std::move(*command));
            queue.removeEmpty();
        }
    }
    return commands;
}

/// Backend servers that can take a call, the fastest first.
std::vector<const membership::BackendServerEntry *>
BatchDispatcher::idleServers(const framework::ServiceId &service, const serving::StagePool &pool,
                             framework::TimePoint now)
{
    std::vector<std::pair<std::int64_t, const membership::BackendServerEntry *>> idle;
    for (const membership::BackendServerEntry *server : m_servers.admitting(service)) {
        const StageServerState &state = m_ledger.server(server->id);
        if (state.calls() < pool.slots && !state.isPaused(now)
            && state.held() < pool.resultCapacity) {
            // Small differences in speed are not worth a transfer between zones.
            const std::int64_t call = std::max<std::int64_t>(pool.callOverhead.value(), 1);
            idle.emplace_back(state.usualTime(pool.callOverhead, now).value() / call, server);
        }
    }
    std::stable_sort(idle.begin(), idle.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<const membership::BackendServerEntry *> servers;
    servers.reserve(idle.size());
    for (const auto &[slowness, server] : idle) {
        servers.push_back(server);
    }
    return servers;
}

/// Whether a backend server is right for a unit: in its zone, unless it cannot wait for one there;
/// and not a slow one, unless it has the time.
bool BatchDispatcher::suits(const membership::BackendServerEntry &server, const StageUnit &unit,
                            const serving::StagePool &pool, framework::TimePoint now)
{
    const framework::Milliseconds slack = unit.latestStart - now;
    if (slack.value() >= 0) {
        const StageServerState &state = m_ledger.server(server.id);
        const framework::Milliseconds extra =
            state.usualTime(pool.callOverhead, now) - pool.callOverhead;
        if (extra > pool.callOverhead && extra > slack) {
            return false;
        }
    }
    const bool anyZone = unit.zone.isEmpty() || unit.zone == server.zone;
    return anyZone || slack < m_limits.zonalSlack || !hasServerIn(server.service, unit.zone, now);
}

bool BatchDispatcher::hasServerIn(const framework::ServiceId &service,
                                  const framework::AvailabilityZoneId &zone,
                                  framework::TimePoint now)
{
    const auto &servers = m_servers.admitting(service);
    return std::any_of(servers.begin(), servers.end(), [&](const auto *server) {
        return server->zone == zone && !m_ledger.server(server->id).isPaused(now);
    });
}

std::optional<StartStageCall>
BatchDispatcher::makeCall(const membership::BackendServerEntry &server,
                          const serving::StagePool &pool, UnitQueue &queue,
                          framework::TimePoint now)
{
    StageServerState &state = m_ledger.server(server.id);
    framework::Bytes room = pool.resultCapacity - state.held();
    RunningCall call{server, {}, now, {}, pool.resultLifetime, {}};
    StartStageCall command{m_nextCall, server, {}, {}};
    for (const StageUnit &unit : queue.units()) {
        if (unit.notBefore > now) {
            break;
        }
        if (!suits(server, unit, pool, now)) {
            continue;
        }
        StageJobState &job = *unit.job;
        const protocol::JobStage &stage = job.stage(unit.stage);
        while (command.pieces.size() < pool.batchSize && job.waitingPieces(unit.stage) > 0
               && stage.resultSize <= room) {
            const std::uint32_t piece = job.startPiece(unit.stage);
            command.pieces.push_back({job.key().request, stage.index, piece, job.deadline() - now,
                                      job.job().input, job.inputs(unit.stage)});
            call.pieces.push_back({job.number(), unit.stage, piece, stage.resultSize});
            call.reserved += stage.resultSize;
            room -= stage.resultSize;
        }
    }
    if (command.pieces.empty()) {
        return std::nullopt;
    }
    call.expected = pool.batchTime(static_cast<std::uint32_t>(command.pieces.size()));
    const auto usual = static_cast<double>(state.usualTime(call.expected, now).value());
    command.timeout = m_limits.timeoutSlack
        + framework::Milliseconds(static_cast<std::int64_t>(usual * m_limits.timeoutFactor));
    call.fetchesAtOnce = state.isSound();
    state.callStarted();
    state.addHeld(call.reserved);
    m_calls.emplace(m_nextCall, std::move(call));
    m_nextCall = m_nextCall.next();
    return command;
}

} // namespace lavendertally::stages
