#include "stages/internal/stagecoordinator.h"

#include "serving/types/stagepool.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lavendertally::stages {

namespace {

/// How often queues are looked at for jobs that have become late, and results for their expiry.
constexpr framework::Milliseconds WakeInterval{50};

} // namespace

StageCoordinator::StageCoordinator(const serving::IServingState &serving,
                                   const membership::IBackendServers &servers,
                                   const StageLimits &limits)
    : m_limits(limits), m_estimator(serving, servers, m_ledger, m_limits),
      m_dispatcher(servers, m_estimator, m_ledger, m_limits),
      m_admission(m_jobs, m_dispatcher, servers, m_estimator, m_shares, m_limits)
{ }

StageCoordinator::~StageCoordinator() = default;

void StageCoordinator::submit(const framework::DaemonId &owner, const protocol::StageJob &job,
                              framework::TimePoint now)
{
    const JobKey key{owner, job.request};
    cancel(key, now);
    StageJobState &added = m_jobs.add(key, job, now);
    const bool canRun = m_admission.canRun(job);
    const framework::Milliseconds excess = canRun ? makeRoom(added, now) : m_limits.maxRetryAfter;
    if (excess.value() > 0) {
        fail(added, protocol::StageJobStatus::Overloaded,
             canRun ? "would be late" : "no backend server", excess);
        return;
    }
    enqueueReady(added, now);
    dispatchAll(now);
}

framework::Milliseconds StageCoordinator::makeRoom(const StageJobState &job,
                                                   framework::TimePoint now)
{
    while (true) {
        const framework::Milliseconds lateness = m_admission.lateness(job, now);
        StageJobState *victim = lateness.value() > 0 ? m_admission.findVictim(job, now) : nullptr;
        if (victim == nullptr) {
            return lateness;
        }
        fail(*victim, protocol::StageJobStatus::Overloaded, "gave way", lateness);
    }
}

void StageCoordinator::enqueue(StageJobState &job, std::size_t stage, framework::TimePoint now)
{
    const framework::Milliseconds own = m_estimator.tail(job, stage);
    framework::Milliseconds others(0);
    for (std::size_t other = 0; other < job.stageCount(); ++other) {
        if (other != stage && !job.isStageDone(other)) {
            others = std::max(others, m_estimator.tail(job, other));
        }
    }
    StageUnit unit{&job, stage, job.objective() - own, now, {}, {}};
    unit.zone = job.preferredZone(stage, m_limits.zonalSize);
    if (job.dependents(stage).empty() && others > own + m_limits.earliness) {
        unit.notBefore = now + others - own - m_limits.earliness;
    }
    unit.rank = unit.latestStart
        + m_limits.leadPerRank * static_cast<std::int64_t>(job.job().priority.value());
    m_queues[job.stage(stage).service].add(unit);
}

void StageCoordinator::enqueueReady(StageJobState &job, framework::TimePoint now)
{
    for (std::size_t stage = 0; stage < job.stageCount(); ++stage) {
        if (job.waitingPieces(stage) > 0 && job.isReady(stage)) {
            enqueue(job, stage, now);
        }
    }
}

void StageCoordinator::cancel(const JobKey &key, framework::TimePoint /*now*/)
{
    if (StageJobState *const job = m_jobs.find(key)) {
        freeResults(job->allResults());
        erase(*job);
    }
}

void StageCoordinator::cancelAll(const framework::DaemonId &owner, framework::TimePoint now)
{
    for (const JobKey &key : m_jobs.keysOf(owner)) {
        cancel(key, now);
    }
}

void StageCoordinator::handOver()
{
    std::vector<StageJobState *> waiting;
    for (const auto &[number, job] : m_jobs.all()) {
        if (!job->hasStarted()) {
            waiting.push_back(job.get());
        }
    }
    for (StageJobState *job : waiting) {
        protocol::StageJobOutcome outcome;
        outcome.request = job->key().request;
        outcome.status = protocol::StageJobStatus::NotCoordinator;
        m_commands.emplace_back(
            EndStageJob{job->key().owner, std::move(outcome), "handed over", {}});
        erase(*job);
    }
}

void StageCoordinator::setForeign(const framework::DaemonId &daemon,
                                  const std::vector<protocol::StageHolding> &holdings,
                                  framework::TimePoint now)
{
    m_ledger.setForeign(daemon, holdings, now + m_limits.foreignLifetime);
    dispatchAll(now);
}

void StageCoordinator::release(const std::vector<framework::StageResultId> &results,
                               framework::TimePoint /*now*/)
{
    freeResults(results);
}

void StageCoordinator::freeResults(const std::vector<framework::StageResultId> &results)
{
    m_toFree.insert(m_toFree.end(), results.begin(), results.end());
}

void StageCoordinator::resultsFreed(const std::vector<framework::StageResultId> &results,
                                    framework::TimePoint now)
{
    for (const framework::StageResultId &result : results) {
        m_ledger.remove(result);
    }
    dispatchAll(now);
}

void StageCoordinator::wake(framework::TimePoint now)
{
    m_ledger.expire(now);
    freeFetchedInputs(now);
    refuseLate(now);
    dispatchAll(now);
    m_nextWake = m_jobs.isEmpty() ? framework::TimePoint::never() : now + WakeInterval;
}

framework::TimePoint StageCoordinator::nextWake() const
{
    return m_jobs.isEmpty() ? framework::TimePoint::never() : m_nextWake;
}

/// Ends jobs that have not cost anything yet and would miss their objective, and those that have
/// fallen far behind it or have passed their deadline.
void StageCoordinator::refuseLate(framework::TimePoint now)
{
    std::vector<StageJobState *> late;
    for (const auto &[service, queue] : m_queues) {
        for (const StageUnit &unit : queue.units()) {
            const bool waits = unit.notBefore > now;
            const framework::Milliseconds lateness = now - unit.latestStart;
            const bool refusable = !waits
                && (unit.job->hasStarted() ? lateness > m_limits.maxLateness
                                           : lateness > framework::Milliseconds(0));
            const bool known = std::find(late.begin(), late.end(), unit.job) != late.end();
            if ((refusable || now > unit.job->deadline()) && !known) {
                late.push_back(unit.job);
            }
        }
    }
    for (StageJobState *job : late) {
        const framework::Milliseconds lateness = now - job->objective();
        if (job->hasStarted()) {
            fail(*job, protocol::StageJobStatus::Failed, "fell too far behind", lateness);
        } else {
            fail(*job, protocol::StageJobStatus::Overloaded, "waited too long", lateness);
        }
    }
}

void StageCoordinator::dispatchAll(framework::TimePoint now)
{
    for (auto &[service, queue] : m_queues) {
        for (StartStageCall &call : m_dispatcher.dispatch(service, queue, now)) {
            m_commands.emplace_back(std::move(call));
        }
    }
    if (m_nextWake == framework::TimePoint::never() && !m_jobs.isEmpty()) {
        m_nextWake = now + WakeInterval;
    }
}

void StageCoordinator::callEnded(StageCallId id, const StageCallOutcome &outcome,
                                 framework::TimePoint now)
{
    const std::optional<RunningCall> ended = m_dispatcher.take(id);
    if (!ended) {
        return;
    }
    const RunningCall &call = *ended;
    StageServerState &state = m_ledger.server(call.server.id);
    state.removeHeld(call.reserved);
    const bool complete = outcome.pieces.size() == call.pieces.size();
    if (outcome.status == StageCallStatus::Answered && complete) {
        state.callAnswered(call.expected, now - call.started, now);
    } else if (outcome.status == StageCallStatus::NotRun) {
        state.callRefused(m_limits, now);
    } else {
        state.callFailed(m_limits, call.expected, now - call.started, now);
        // Results that nobody knows may lie there.
        m_ledger.addUnknown(call.server.id, call.reserved, now + call.resultLifetime);
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
    StageJobState *job = m_jobs.find(piece.job);
    if (job == nullptr) {
        if (made) {
            freeResults({outcome.result});
        }
        return;
    }
    if (made) {
        job->finishPiece(piece.stage, piece.piece, {outcome.result, call.server.zone});
        if (job->isStageDone(piece.stage)) {
            stageDone(*job, piece.stage, now);
        }
        return;
    }
    if (outcome.status == PieceStatus::DeadlineExceeded) {
        fail(*job, protocol::StageJobStatus::Failed, "time was up at a backend server",
             now - job->objective());
        return;
    }
    const auto inputs = job->inputs(piece.stage);
    const bool freed = std::any_of(inputs.begin(), inputs.end(),
                                   [](const auto &input) { return input.isEmpty(); });
    if (outcome.status == PieceStatus::InputMissing || freed) {
        restartInputs(*job, piece.stage);
    }
    if (outcome.status == PieceStatus::StorageFull) {
        m_ledger.addUnknown(call.server.id, piece.resultSize, now + m_limits.noRoomPause);
    }
    pieceFailed(*job, piece, outcome.status, now);
}

void StageCoordinator::pieceFailed(StageJobState &job, const RunningPiece &piece,
                                   PieceStatus status, framework::TimePoint now)
{
    const std::uint32_t attempts = job.retryPiece(piece.stage, piece.piece);
    if (status != PieceStatus::StorageFull && attempts >= m_limits.maxPieceAttempts) {
        fail(job, protocol::StageJobStatus::Failed, "a piece kept failing", now - job.objective());
        return;
    }
    enqueueReady(job, now);
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

void StageCoordinator::stageDone(StageJobState &job, std::size_t stage, framework::TimePoint now)
{
    freeInputs(job, stage);
    if (job.isDone()) {
        finish(job, now);
        return;
    }
    enqueueReady(job, now);
}

/// Frees the results that this stage needed, unless another one still does.
void StageCoordinator::freeInputs(StageJobState &job, std::size_t stage)
{
    for (std::size_t before = 0; before < stage; ++before) {
        const auto dependents = job.dependents(before);
        const bool isInput =
            std::find(dependents.begin(), dependents.end(), stage) != dependents.end();
        const bool needed =
            std::any_of(dependents.begin(), dependents.end(), [&](std::size_t each) {
                return job.waitingPieces(each) > 0 || (each != stage && !job.isStageDone(each));
            });
        if (isInput && !needed) {
            freeResults(job.takeResults(before));
        }
    }
}

/// Where room is short, frees the inputs of calls that have had the time to fetch them. If such a
/// call fails, its inputs are made again.
void StageCoordinator::freeFetchedInputs(framework::TimePoint now)
{
    for (auto &[id, call] : m_dispatcher.calls()) {
        if (!call.fetchesAtOnce || now - call.started < m_limits.fetchTime) {
            continue;
        }
        call.fetchesAtOnce = false;
        for (const RunningPiece &piece : call.pieces) {
            StageJobState *job = m_jobs.find(piece.job);
            if (job != nullptr && isRoomPressed(*job, piece.stage)) {
                freeInputs(*job, piece.stage);
            }
        }
    }
}

bool StageCoordinator::isRoomPressed(const StageJobState &job, std::size_t stage)
{
    for (std::size_t before = 0; before < stage; ++before) {
        const auto dependents = job.dependents(before);
        const serving::StagePool *pool = m_estimator.findPool(job.stage(before).service);
        if (pool == nullptr
            || std::find(dependents.begin(), dependents.end(), stage) == dependents.end()) {
            continue;
        }
        const auto limit = static_cast<double>(pool->resultCapacity.value()) * m_limits.pressedRoom;
        for (const protocol::StageResultPlace &place : job.results(before)) {
            if (static_cast<double>(m_ledger.heldBeside(place.id).value()) > limit) {
                return true;
            }
        }
    }
    return false;
}

void StageCoordinator::finish(StageJobState &job, framework::TimePoint now)
{
    m_shares.recordDone(job.job().route, now <= job.objective());
    protocol::StageJobOutcome outcome;
    outcome.request = job.key().request;
    outcome.status = protocol::StageJobStatus::Done;
    outcome.results = job.finalResults();
    m_commands.emplace_back(
        EndStageJob{job.key().owner, std::move(outcome), "", now - job.objective()});
    erase(job);
}

void StageCoordinator::fail(StageJobState &job, protocol::StageJobStatus status, const char *cause,
                            framework::Milliseconds lateness)
{
    m_shares.record(job.job().route, false);
    protocol::StageJobOutcome outcome;
    outcome.request = job.key().request;
    outcome.status = status;
    outcome.retryAfter = std::clamp(lateness, m_limits.minRetryAfter, m_limits.maxRetryAfter);
    m_commands.emplace_back(EndStageJob{job.key().owner, std::move(outcome), cause, lateness});
    freeResults(job.allResults());
    erase(job);
}

void StageCoordinator::erase(StageJobState &job)
{
    for (auto &[service, queue] : m_queues) {
        queue.removeJob(job);
    }
    m_jobs.erase(job);
}

std::vector<StageCommand> StageCoordinator::takeCommands()
{
    if (!m_toFree.empty()) {
        m_commands.emplace_back(FreeStageResults{std::exchange(m_toFree, {})});
    }
    return std::exchange(m_commands, {});
}

} // namespace lavendertally::stages
