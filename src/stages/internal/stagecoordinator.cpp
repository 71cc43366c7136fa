#include "stages/internal/stagecoordinator.h"

#include "membership/ibackendservers.h"
#include "serving/iservingstate.h"
#include "serving/types/servingconfiguration.h"

#include <algorithm>
#include <utility>

namespace lavendertally::stages {

namespace {

/// How often queues are looked at for jobs that have become late, and results for their expiry.
constexpr framework::Milliseconds WakeInterval{50};

} // namespace

StageCoordinator::StageCoordinator(const serving::IServingState &serving,
                                   const membership::IBackendServers &servers,
                                   const StageLimits &limits)
    : m_serving(serving), m_servers(servers), m_limits(limits)
{ }

StageCoordinator::~StageCoordinator() = default;

void StageCoordinator::submit(const framework::DaemonId &owner, const protocol::StageJob &job,
                              framework::TimePoint now)
{
    const JobKey key{owner, job.request};
    cancel(key, now);
    const JobNumber number = m_nextJob++;
    auto state = std::make_unique<StageJobState>(key, job, now);
    StageJobState &added = *state;
    m_jobs.emplace(number, std::move(state));
    m_numbers[key] = number;
    if (!canRun(job)) {
        fail(added, protocol::StageJobStatus::Overloaded);
        return;
    }
    enqueueReady(added);
    dispatchAll(now);
}

bool StageCoordinator::canRun(const protocol::StageJob &job) const
{
    return std::all_of(job.stages.begin(), job.stages.end(),
                       [this](const protocol::JobStage &stage) {
                           return findPool(stage.service) != nullptr
                               && !m_servers.admitting(stage.service).empty();
                       });
}

const serving::StagePool *StageCoordinator::findPool(const framework::ServiceId &service) const
{
    const auto configuration = m_serving.configuration();
    const serving::ServiceSpec *spec = configuration ? configuration->findService(service) : nullptr;
    return spec != nullptr && spec->stagePool ? &*spec->stagePool : nullptr;
}

/// Time from the start of a stage to the first token, with half-full batches on the way.
framework::Milliseconds StageCoordinator::tail(const StageJobState &job, std::size_t stage) const
{
    framework::Milliseconds longest = m_limits.finishTime;
    for (const std::size_t dependent : job.dependents(stage)) {
        longest = std::max(longest, tail(job, dependent));
    }
    const serving::StagePool *pool = findPool(job.stage(stage).service);
    return pool == nullptr ? longest : longest + pool->batchTime(pool->batchSize / 2);
}

void StageCoordinator::enqueue(StageJobState &job, std::size_t stage)
{
    m_queues[job.stage(stage).service].add({&job, stage, job.objective() - tail(job, stage)});
}

void StageCoordinator::enqueueReady(StageJobState &job)
{
    for (std::size_t stage = 0; stage < job.stageCount(); ++stage) {
        if (job.waitingPieces(stage) > 0 && job.isReady(stage)) {
            enqueue(job, stage);
        }
    }
}

StageJobState *StageCoordinator::find(JobNumber number)
{
    const auto found = m_jobs.find(number);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

StageCoordinator::JobNumber StageCoordinator::numberOf(const JobKey &key) const
{
    const auto found = m_numbers.find(key);
    return found == m_numbers.end() ? 0 : found->second;
}

void StageCoordinator::cancel(const JobKey &key, framework::TimePoint /*now*/)
{
    if (StageJobState *const job = find(numberOf(key))) {
        freeResults(job->allResults());
        erase(*job);
    }
}

void StageCoordinator::cancelAll(const framework::DaemonId &owner, framework::TimePoint now)
{
    std::vector<JobKey> keys;
    for (const auto &[key, number] : m_numbers) {
        if (key.owner == owner) {
            keys.push_back(key);
        }
    }
    for (const JobKey &key : keys) {
        cancel(key, now);
    }
}

void StageCoordinator::release(const std::vector<framework::StageResultId> &results,
                               framework::TimePoint now)
{
    freeResults(results);
    dispatchAll(now);
}

void StageCoordinator::freeResults(const std::vector<framework::StageResultId> &results)
{
    for (const framework::StageResultId &result : results) {
        m_ledger.remove(result);
        m_toFree.push_back(result);
    }
}

void StageCoordinator::wake(framework::TimePoint now)
{
    m_ledger.expire(now);
    refuseLate(now);
    dispatchAll(now);
    m_nextWake = m_jobs.empty() ? framework::TimePoint::never() : now + WakeInterval;
}

framework::TimePoint StageCoordinator::nextWake() const
{
    return m_jobs.empty() ? framework::TimePoint::never() : m_nextWake;
}

/// Ends jobs that have not cost anything yet and would miss their objective, and those whose
/// deadline has passed.
void StageCoordinator::refuseLate(framework::TimePoint now)
{
    std::vector<StageJobState *> late;
    for (const auto &[service, queue] : m_queues) {
        for (const StageUnit &unit : queue.units()) {
            const bool refusable = !unit.job->hasStarted() && now > unit.latestStart;
            const bool known = std::find(late.begin(), late.end(), unit.job) != late.end();
            if ((refusable || now > unit.job->deadline()) && !known) {
                late.push_back(unit.job);
            }
        }
    }
    for (StageJobState *job : late) {
        fail(*job, job->hasStarted() ? protocol::StageJobStatus::Failed
                                     : protocol::StageJobStatus::Overloaded);
    }
}

void StageCoordinator::dispatchAll(framework::TimePoint now)
{
    for (auto &[service, queue] : m_queues) {
        dispatch(service, queue, now);
    }
    if (m_nextWake == framework::TimePoint::never() && !m_jobs.empty()) {
        m_nextWake = now + WakeInterval;
    }
}

void StageCoordinator::dispatch(const framework::ServiceId &service, UnitQueue &queue,
                                framework::TimePoint now)
{
    const serving::StagePool *pool = findPool(service);
    if (pool == nullptr) {
        return;
    }
    while (!queue.isEmpty()) {
        const StageUnit first = queue.ordered(now).front();
        const membership::BackendServerEntry *server = chooseServer(service, *pool, first, now);
        if (server == nullptr || !startCall(*server, *pool, queue, now)) {
            return;
        }
        queue.removeEmpty();
    }
}

/// Prefers the zone in which the first unit's inputs lie, then the fastest backend server.
const membership::BackendServerEntry *
StageCoordinator::chooseServer(const framework::ServiceId &service, const serving::StagePool &pool,
                               const StageUnit &first, framework::TimePoint now)
{
    const framework::AvailabilityZoneId zone = first.job->preferredZone(first.stage);
    const framework::Bytes size = first.job->stage(first.stage).resultSize;
    const membership::BackendServerEntry *best = nullptr;
    std::pair<framework::Milliseconds, bool> bestKey;
    for (const membership::BackendServerEntry *server : m_servers.admitting(service)) {
        const StageServerState &state = m_ledger.server(server->id);
        const bool hasRoom = state.held() + size <= pool.resultRoom;
        if (state.calls() >= pool.slots || state.isPaused(now) || !hasRoom) {
            continue;
        }
        const framework::Milliseconds usual = state.usualTime(pool.callTime);
        // Small differences in speed must not outweigh a transfer between zones.
        const std::int64_t slowness = usual.value() / std::max<std::int64_t>(pool.callTime.value(), 1);
        const framework::Milliseconds coarse(std::max<std::int64_t>(slowness, 1));
        const std::pair<framework::Milliseconds, bool> key{coarse, server->zone != zone};
        if (best == nullptr || key < bestKey) {
            best = server;
            bestKey = key;
        }
    }
    return best;
}

bool StageCoordinator::startCall(const membership::BackendServerEntry &server,
                                 const serving::StagePool &pool, UnitQueue &queue,
                                 framework::TimePoint now)
{
    StageServerState &state = m_ledger.server(server.id);
    framework::Bytes room = pool.resultRoom - state.held();
    RunningCall call{server, {}, now, {}, pool.resultLifetime, {}};
    StartStageCall command{m_nextCall, server, {}, {}};
    for (const StageUnit &unit : queue.units()) {
        StageJobState &job = *unit.job;
        const protocol::JobStage &stage = job.stage(unit.stage);
        while (command.pieces.size() < pool.batchSize && job.waitingPieces(unit.stage) > 0
               && stage.resultSize <= room) {
            const std::uint32_t piece = job.startPiece(unit.stage);
            command.pieces.push_back({job.key().request, stage.index, piece, job.deadline() - now,
                                      job.job().input, job.inputs(unit.stage)});
            call.pieces.push_back({numberOf(job.key()), unit.stage, piece, stage.resultSize});
            call.reserved += stage.resultSize;
            room -= stage.resultSize;
        }
    }
    if (command.pieces.empty()) {
        return false;
    }
    call.expected = pool.batchTime(static_cast<std::uint32_t>(command.pieces.size()));
    command.timeout =
        state.usualTime(call.expected) * m_limits.timeoutFactor + m_limits.timeoutSlack;
    state.callStarted();
    state.addHeld(call.reserved);
    m_calls.emplace(m_nextCall, std::move(call));
    m_nextCall = m_nextCall.next();
    m_commands.emplace_back(std::move(command));
    return true;
}

void StageCoordinator::callEnded(StageCallId id, const StageCallOutcome &outcome,
                                 framework::TimePoint now)
{
    auto node = m_calls.extract(id);
    if (node.empty()) {
        return;
    }
    const RunningCall &call = node.mapped();
    StageServerState &state = m_ledger.server(call.server.id);
    state.removeHeld(call.reserved);
    const bool complete = outcome.pieces.size() == call.pieces.size();
    if (outcome.status == StageCallStatus::Answered && complete) {
        state.callAnswered(call.expected, now - call.started);
    } else if (outcome.status == StageCallStatus::NotRun) {
        state.callRefused(m_limits, now);
    } else {
        state.callFailed(m_limits, now);
    }
    for (std::size_t index = 0; index < call.pieces.size(); ++index) {
        pieceEnded(call, call.pieces[index], complete ? outcome.pieces[index] : PieceOutcome{},
                   now);
    }
    dispatchAll(now);
}

void StageCoordinator::pieceEnded(const RunningCall &call, const RunningPiece &piece,
                                  const PieceOutcome &outcome, framework::TimePoint now)
{
    const bool made = outcome.status == PieceStatus::Done;
    if (made) {
        m_ledger.add(outcome.result, call.server.id, piece.resultSize, now + call.resultLifetime);
    }
    StageJobState *job = find(piece.job);
    if (job == nullptr) {
        if (made) {
            freeResults({outcome.result});
        }
        return;
    }
    if (made) {
        job->finishPiece(piece.stage, piece.piece, {outcome.result, call.server.zone});
        if (job->isStageDone(piece.stage)) {
            stageDone(*job, piece.stage);
        }
        return;
    }
    if (outcome.status == PieceStatus::Late) {
        fail(*job, protocol::StageJobStatus::Failed);
        return;
    }
    if (outcome.status == PieceStatus::InputGone) {
        restartInputs(*job, piece.stage);
    }
    pieceFailed(*job, piece);
}

void StageCoordinator::pieceFailed(StageJobState &job, const RunningPiece &piece)
{
    if (job.retryPiece(piece.stage, piece.piece) >= m_limits.maxPieceAttempts) {
        fail(job, protocol::StageJobStatus::Failed);
        return;
    }
    enqueueReady(job);
}

/// Makes the results again that a stage found gone.
void StageCoordinator::restartInputs(StageJobState &job, std::size_t stage)
{
    for (std::size_t before = 0; before < stage; ++before) {
        const auto dependents = job.dependents(before);
        if (std::find(dependents.begin(), dependents.end(), stage) == dependents.end()) {
            continue;
        }
        std::vector<framework::StageResultId> left;
        for (const protocol::StageResultPlace &place : job.results(before)) {
            left.push_back(place.id);
        }
        freeResults(left);
        job.restartStage(before);
        // What it was made from may have been freed already.
        if (job.isReady(before) && !job.inputs(before).empty()
            && job.inputs(before).front().isEmpty()) {
            restartInputs(job, before);
        }
    }
    m_queues[job.stage(stage).service].removeJob(job);
}

void StageCoordinator::stageDone(StageJobState &job, std::size_t stage)
{
    for (std::size_t before = 0; before < stage; ++before) {
        const auto dependents = job.dependents(before);
        const bool needed = std::any_of(dependents.begin(), dependents.end(),
                                        [&job](std::size_t each) { return !job.isStageDone(each); });
        if (!dependents.empty() && !needed) {
            freeResults(job.takeResults(before));
        }
    }
    if (job.isDone()) {
        finish(job);
        return;
    }
    enqueueReady(job);
}

void StageCoordinator::finish(StageJobState &job)
{
    protocol::StageJobOutcome outcome;
    outcome.request = job.key().request;
    outcome.status = protocol::StageJobStatus::Done;
    outcome.results = job.finalResults();
    m_commands.emplace_back(EndStageJob{job.key().owner, std::move(outcome)});
    erase(job);
}

void StageCoordinator::fail(StageJobState &job, protocol::StageJobStatus status)
{
    protocol::StageJobOutcome outcome;
    outcome.request = job.key().request;
    outcome.status = status;
    outcome.retryAfter = m_limits.retryAfter;
    m_commands.emplace_back(EndStageJob{job.key().owner, std::move(outcome)});
    freeResults(job.allResults());
    erase(job);
}

void StageCoordinator::erase(StageJobState &job)
{
    for (auto &[service, queue] : m_queues) {
        queue.removeJob(job);
    }
    const JobKey key = job.key();
    const JobNumber number = numberOf(key);
    m_numbers.erase(key);
    m_jobs.erase(number);
}

std::vector<StageCommand> StageCoordinator::takeCommands()
{
    if (!m_toFree.empty()) {
        m_commands.emplace_back(FreeStageResults{std::exchange(m_toFree, {})});
    }
    return std::exchange(m_commands, {});
}

} // namespace lavendertally::stages
