#include "stages/internal/stagecoordinator.h"

#include "ratelimit/iserverratelimits.h"
#include "rollout/irolloutobserver.h"
#include "serving/types/stagepool.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace lavendertally::stages {

namespace {

/// Interval of the checks for late jobs and expired results.
constexpr framework::Milliseconds WakeInterval{50};

/// Results that are freed together at a backend server that limits its requests.
constexpr std::size_t MinResultsPerLimitedCall = 8;

} // namespace

StageCoordinator::StageCoordinator(const serving::IServingState &serving,
                                   const membership::IBackendServers &servers,
                                   ratelimit::IServerRateLimits &rateLimits,
                                   const StageCoordinatorOptions &options,
                                   std::vector<routing::IServerFilter *> filters,
                                   rollout::IRolloutObserver *rollouts)
    : m_options(options), m_rollouts(rollouts), m_rateLimits(rateLimits), m_jobs(m_options),
      m_estimator(serving, servers, rateLimits, m_resultTracker, m_options, filters),
      m_storageQueries(servers, m_estimator, m_resultTracker),
      m_dispatcher(servers, rateLimits, m_estimator, m_resultTracker, m_options,
                   std::move(filters)),
      m_admission(m_jobs, m_dispatcher, servers, m_estimator, m_attainment, m_options)
{ }

StageCoordinator::~StageCoordinator() = default;

void StageCoordinator::submit(const framework::DaemonId &owner, const protocol::StageJob &job,
                              framework::TimePoint now)
{
    const JobKey key{owner, job.request};
    cancel(key, now);
    StageJobState &added = m_jobs.add(key, job, now);
    const bool canRun = m_admission.canRun(job);
    const framework::Milliseconds excess =
        canRun ? evictUntilInTime(added, now) : m_options.maxRetryAfter;
    if (excess.value() > 0) {
        failJob(added, protocol::StageJobStatus::Overloaded,
                canRun ? "would be late" : "no backend server", excess);
        return;
    }
    requeue(added, now);
    dispatchAll(now);
}

framework::Milliseconds StageCoordinator::evictUntilInTime(const StageJobState &job,
                                                           framework::TimePoint now)
{
    while (true) {
        const framework::Milliseconds lateness = m_admission.expectedLateness(job, now);
        StageJobState *evictable =
            lateness.value() > 0 ? m_admission.findEvictableJob(job) : nullptr;
        if (evictable == nullptr) {
            return lateness;
        }
        failJob(*evictable, protocol::StageJobStatus::Overloaded, "gave way", lateness);
    }
}

void StageCoordinator::enqueue(StageJobState &job, std::size_t stage, framework::TimePoint now)
{
    const framework::Milliseconds ownPath = m_estimator.criticalPathTime(job, stage);
    framework::Milliseconds longestOtherPath(0);
    for (std::size_t other = 0; other < job.stageCount(); ++other) {
        if (other != stage && !job.isStageDone(other)) {
            longestOtherPath = std::max(longestOtherPath, m_estimator.criticalPathTime(job, other));
        }
    }
    QueuedStage queued{&job, stage, job.objective() - ownPath, now, {}, {}};
    queued.preferredZone = job.preferredZone(stage, m_options.zoneAffinityMinSize);
    if (job.dependents(stage).empty() && longestOtherPath > ownPath + m_options.joinLeadTime) {
        queued.notBefore = now + longestOtherPath - ownPath - m_options.joinLeadTime;
    }
    queued.effectiveLatestStart = queued.latestStart
        + m_options.headStartPerRank * static_cast<std::int64_t>(job.job().priority.value());
    m_queues[job.stage(stage).service].add(queued);
}

void StageCoordinator::requeue(StageJobState &job, framework::TimePoint now)
{
    // Predecessors come before their dependents, so one pass from the end reaches all of them.
    for (std::size_t stage = job.stageCount(); stage-- > 0;) {
        if (job.waitingPieces(stage) == 0) {
            continue;
        }
        for (const std::size_t predecessor : job.predecessors(stage)) {
            job.discardResults(predecessor, {});
        }
    }
    for (std::size_t stage = 0; stage < job.stageCount(); ++stage) {
        if (job.waitingPieces(stage) == 0 || !job.hasInputs(stage)) {
            m_queues[job.stage(stage).service].removeStage(job, stage);
        } else {
            enqueue(job, stage, now);
        }
    }
}

void StageCoordinator::cancel(const JobKey &key, framework::TimePoint /*now*/)
{
    if (StageJobState *const job = m_jobs.find(key)) {
        freeResults(job->allResults());
        eraseJob(*job);
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
        eraseJob(*job);
    }
}

void StageCoordinator::setPeerHoldings(const framework::DaemonId &daemon,
                                       const std::vector<protocol::StageHolding> &holdings,
                                       framework::TimePoint now)
{
    m_resultTracker.setPeerHoldings(daemon, holdings, now + m_options.peerHoldingsLifetime);
    dispatchAll(now);
}

void StageCoordinator::release(const std::vector<framework::StageResultId> &results,
                               framework::TimePoint /*now*/)
{
    freeResults(results);
}

void StageCoordinator::freeResults(const std::vector<framework::StageResultId> &results)
{
    m_resultsToFree.insert(m_resultsToFree.end(), results.begin(), results.end());
}

/// \return whether calls that do no work may be sent to the backend server: it neither limits its
/// calls nor wants none for now
bool StageCoordinator::takesExtraCalls(const framework::BackendServerId &server)
{
    return !m_rateLimits.rateOf(server)
        && m_lastDispatch >= m_resultTracker.server(server).wantsNoneUntil();
}

void StageCoordinator::freeHeldResults(framework::TimePoint now)
{
    for (auto &[server, results] : m_heldResults) {
        std::erase_if(results, [this](const framework::StageResultId &result) {
            return !m_resultTracker.holderOf(result);
        });
        const bool wantsNone = now < m_resultTracker.server(server).wantsNoneUntil();
        const bool isWorthACall = !wantsNone && results.size() >= MinResultsPerLimitedCall
            && m_rateLimits.mayCall(server, now);
        if (takesExtraCalls(server)) {
            freeResults(std::exchange(results, {}));
        } else if (isWorthACall) {
            m_rateLimits.callSent(server, now);
            m_commands.emplace_back(FreeStageResults{std::exchange(results, {})});
        }
    }
    std::erase_if(m_heldResults, [](const auto &entry) { return entry.second.empty(); });
}

void StageCoordinator::resultsFreed(const std::vector<framework::StageResultId> &results,
                                    framework::TimePoint now)
{
    for (const framework::StageResultId &result : results) {
        m_resultTracker.remove(result);
    }
    dispatchAll(now);
}

void StageCoordinator::wake(framework::TimePoint now)
{
    m_resultTracker.expire(now);
    freeHeldResults(now);
    queryStorage(m_storageQueries.due(now));
    freeFetchedInputs(now);
    endLateJobs(now);
    dispatchAll(now);
    m_nextWake = m_jobs.isEmpty() ? framework::TimePoint::never() : now + WakeInterval;
}

framework::TimePoint StageCoordinator::nextWake() const
{
    return m_jobs.isEmpty() ? framework::TimePoint::never() : m_nextWake;
}

/// Ends queued jobs: unstarted ones that would miss their objective, since they have consumed no
/// capacity yet, started ones that are later than maxLateness, and all that are past their
/// deadline, queued or not.
void StageCoordinator::endLateJobs(framework::TimePoint now)
{
    std::vector<StageJobState *> late;
    for (const auto &[service, queue] : m_queues) {
        for (const QueuedStage &queued : queue.stages()) {
            const bool isDelayed = queued.notBefore > now;
            const framework::Milliseconds lateness = now - queued.latestStart;
            const bool isTooLate = !isDelayed
                && (queued.job->hasStarted() ? lateness > m_options.maxLateness
                                             : lateness > framework::Milliseconds(0));
            const bool isListed = std::find(late.begin(), late.end(), queued.job) != late.end();
            if (isTooLate && !isListed) {
                late.push_back(queued.job);
            }
        }
    }
    for (const auto &[number, job] : m_jobs.all()) {
        const bool isListed = std::find(late.begin(), late.end(), job.get()) != late.end();
        if (now > job->deadline() && !isListed) {
            late.push_back(job.get());
        }
    }
    for (StageJobState *job : late) {
        const framework::Milliseconds lateness = now - job->objective();
        if (job->hasStarted()) {
            failJob(*job, protocol::StageJobStatus::Failed, "fell too far behind", lateness);
        } else {
            failJob(*job, protocol::StageJobStatus::Overloaded, "waited too long", lateness);
        }
    }
}

void StageCoordinator::dispatchAll(framework::TimePoint now)
{
    m_lastDispatch = now;
    for (auto &[service, queue] : m_queues) {
        queryStorage(m_storageQueries.newServers(service));
        for (StartStageCall &call : m_dispatcher.dispatch(service, queue, now)) {
            m_commands.emplace_back(std::move(call));
        }
    }
    if (m_nextWake == framework::TimePoint::never() && !m_jobs.isEmpty()) {
        m_nextWake = now + WakeInterval;
    }
}

void StageCoordinator::queryStorage(const std::vector<membership::BackendServerEntry> &servers)
{
    for (const membership::BackendServerEntry &server : servers) {
        if (takesExtraCalls(server.id)) {
            m_commands.emplace_back(QueryFreeStorage{server});
        }
    }
}

void StageCoordinator::storageReported(const framework::BackendServerId &server,
                                       framework::Bytes free, framework::TimePoint now)
{
    m_storageQueries.reported(server, free, now);
}

/// Calls of different sizes take different times, so each size is compared with itself.
void StageCoordinator::reportAnswer(const RunningCall &call, const StageCallOutcome &outcome,
                                    framework::TimePoint now)
{
    if (m_rollouts == nullptr || outcome.status == StageCallStatus::NotRun) {
        return;
    }
    const bool isAnswered =
        outcome.status == StageCallStatus::Answered && outcome.pieces.size() == call.pieces.size();
    m_rollouts->answered(
        call.server.id, framework::RouteId("pieces/" + std::to_string(call.pieces.size())),
        isAnswered ? rollout::AnswerQuality::Sound : rollout::AnswerQuality::Failed,
        now - call.started);
}

void StageCoordinator::callEnded(StageCallId id, const StageCallOutcome &outcome,
                                 framework::TimePoint now)
{
    const std::optional<RunningCall> ended = m_dispatcher.removeCall(id, now);
    if (!ended) {
        return;
    }
    const RunningCall &call = *ended;
    if (outcome.status != StageCallStatus::Unknown) {
        m_rateLimits.observeAnswer(call.server.id, outcome.rateLimit, call.started, now);
    }
    StageServerState &state = m_resultTracker.server(call.server.id);
    state.removeStored(call.reservedStorage);
    const bool complete = outcome.pieces.size() == call.pieces.size();
    reportAnswer(call, outcome, now);
    if (outcome.status == StageCallStatus::Answered && complete) {
        state.callAnswered(call.expected, now - call.started, now);
    } else if (outcome.status == StageCallStatus::NotRun) {
        state.callRefused(m_options, outcome.retryAfter, now);
    } else {
        state.callFailed(m_options, call.expected, now - call.started, now);
        // The pieces may have run; their results then occupy storage under unknown ids.
        m_resultTracker.addUntracked(call.server.id, call.reservedStorage,
                                     now + call.resultLifetime);
    }
    for (std::size_t index = 0; index < call.pieces.size(); ++index) {
        onPieceEnded(call, call.pieces[index], complete ? outcome.pieces[index] : PieceOutcome{},
                     now);
    }
    dispatchAll(now);
}

void StageCoordinator::onPieceEnded(const RunningCall &call, const RunningPiece &piece,
                                    const PieceOutcome &outcome, framework::TimePoint now)
{
    const bool succeeded = outcome.status == PieceStatus::Done && !outcome.result.isEmpty();
    if (succeeded) {
        m_resultTracker.add(outcome.result, call.server.id, piece.resultSize,
                            now + call.resultLifetime);
    }
    StageJobState *job = m_jobs.find(piece.job);
    if (job == nullptr) {
        if (succeeded) {
            freeResults({outcome.result});
        }
        return;
    }
    if (succeeded) {
        job->finishPiece(piece.stage, piece.piece, {outcome.result, call.server.zone});
        if (job->isStageDone(piece.stage)) {
            onStageDone(*job, piece.stage, now);
        }
        return;
    }
    if (outcome.status == PieceStatus::DeadlineExceeded) {
        failJob(*job, protocol::StageJobStatus::Failed, "time was up at a backend server",
                now - job->objective());
        return;
    }
    if (outcome.status == PieceStatus::InputMissing) {
        onInputsLost(*job, piece, now);
        return;
    }
    if (outcome.status == PieceStatus::StorageFull) {
        m_resultTracker.addUntracked(call.server.id, piece.resultSize,
                                     now + m_options.storageFullHoldTime);
    }
    retryOrFail(*job, piece, outcome.status, now);
}

void StageCoordinator::retryOrFail(StageJobState &job, const RunningPiece &piece,
                                   PieceStatus status, framework::TimePoint now)
{
    const std::uint32_t attempts = job.retryPiece(piece.stage, piece.piece);
    if (status != PieceStatus::StorageFull && attempts >= m_options.maxPieceAttempts) {
        failJob(job, protocol::StageJobStatus::Failed, "a piece kept failing",
                now - job.objective());
        return;
    }
    requeue(job, now);
}

/// Takes back what was decided from inputs that no longer exist. Those of them that have been
/// replaced since the piece was sent are not missing any more.
void StageCoordinator::onInputsLost(StageJobState &job, const RunningPiece &piece,
                                    framework::TimePoint now)
{
    job.returnPiece(piece.stage, piece.piece);
    bool isNews = false;
    for (const std::size_t predecessor : job.predecessors(piece.stage)) {
        // Which of them is missing is not known.
        const auto discarded = job.discardResults(predecessor, piece.inputs);
        isNews = isNews || !discarded.empty();
        freeResults(discarded);
    }
    if (isNews && job.countInputLoss(piece.stage) >= m_options.maxInputLosses) {
        failJob(job, protocol::StageJobStatus::Failed, "its inputs kept getting lost",
                now - job.objective());
        return;
    }
    requeue(job, now);
}

void StageCoordinator::onStageDone(StageJobState &job, std::size_t stage, framework::TimePoint now)
{
    freeInputs(job, stage);
    if (job.isDone()) {
        completeJob(job, now);
        return;
    }
    requeue(job, now);
}

/// Frees the inputs of a stage that no waiting piece and no other unfinished stage needs.
void StageCoordinator::freeInputs(StageJobState &job, std::size_t stage)
{
    for (std::size_t predecessor = 0; predecessor < stage; ++predecessor) {
        const auto dependents = job.dependents(predecessor);
        const bool isInput =
            std::find(dependents.begin(), dependents.end(), stage) != dependents.end();
        const bool needed =
            std::any_of(dependents.begin(), dependents.end(), [&](std::size_t each) {
                return job.waitingPieces(each) > 0 || (each != stage && !job.isStageDone(each));
            });
        if (isInput && !needed) {
            freeResults(job.takeResults(predecessor));
        }
    }
}

/// Frees the inputs of calls that have had the time to fetch them where result storage is scarce.
/// If such a call fails, the stages that produced its inputs run again.
void StageCoordinator::freeFetchedInputs(framework::TimePoint now)
{
    for (auto &[id, call] : m_dispatcher.calls()) {
        if (!call.mayFreeInputsEarly || now - call.started < m_options.inputFetchTime) {
            continue;
        }
        call.mayFreeInputsEarly = false;
        for (const RunningPiece &piece : call.pieces) {
            StageJobState *job = m_jobs.find(piece.job);
            if (job != nullptr && isStorageNearlyFull(*job, piece.stage)) {
                freeInputs(*job, piece.stage);
            }
        }
    }
}

/// \return whether a backend server that stores an input of the stage uses more of its storage than
/// earlyFreeThreshold allows
bool StageCoordinator::isStorageNearlyFull(const StageJobState &job, std::size_t stage)
{
    for (std::size_t predecessor = 0; predecessor < stage; ++predecessor) {
        const auto dependents = job.dependents(predecessor);
        const serving::StagePool *pool = m_estimator.findPool(job.stage(predecessor).service);
        if (pool == nullptr
            || std::find(dependents.begin(), dependents.end(), stage) == dependents.end()) {
            continue;
        }
        const auto limit =
            static_cast<double>(pool->resultCapacity.value()) * m_options.earlyFreeThreshold;
        for (const protocol::StageResultPlace &place : job.results(predecessor)) {
            if (static_cast<double>(m_resultTracker.usedStorageAtHolder(place.id).value())
                > limit) {
                return true;
            }
        }
    }
    return false;
}

void StageCoordinator::completeJob(StageJobState &job, framework::TimePoint now)
{
    m_attainment.recordCompleted(job.job().route, now <= job.objective());
    protocol::StageJobOutcome outcome;
    outcome.request = job.key().request;
    outcome.status = protocol::StageJobStatus::Done;
    outcome.results = job.finalResults();
    m_commands.emplace_back(
        EndStageJob{job.key().owner, std::move(outcome), "", now - job.objective()});
    eraseJob(job);
}

void StageCoordinator::failJob(StageJobState &job, protocol::StageJobStatus status,
                               const char *cause, framework::Milliseconds lateness)
{
    m_attainment.record(job.job().route, false);
    protocol::StageJobOutcome outcome;
    outcome.request = job.key().request;
    outcome.status = status;
    outcome.retryAfter = std::clamp(lateness, m_options.minRetryAfter, m_options.maxRetryAfter);
    m_commands.emplace_back(EndStageJob{job.key().owner, std::move(outcome), cause, lateness});
    freeResults(job.allResults());
    eraseJob(job);
}

void StageCoordinator::eraseJob(StageJobState &job)
{
    for (auto &[service, queue] : m_queues) {
        queue.removeJob(job);
    }
    m_jobs.erase(job);
}

std::vector<StageCommand> StageCoordinator::takeCommands()
{
    std::erase_if(m_resultsToFree, [this](const framework::StageResultId &result) {
        const auto holder = m_resultTracker.holderOf(result);
        const bool isHeld = holder && !takesExtraCalls(*holder);
        if (isHeld) {
            m_heldResults[*holder].push_back(result);
        }
        return isHeld;
    });
    if (!m_resultsToFree.empty()) {
        m_commands.emplace_back(FreeStageResults{std::exchange(m_resultsToFree, {})});
    }
    return std::exchange(m_commands, {});
}

} // namespace lavendertally::stages
