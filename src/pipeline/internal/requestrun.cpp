#include "pipeline/internal/requestrun.h"

#include "claims/iclaimservice.h"
#include "configuration/iconfigurationstore.h"
#include "configuration/types/configurationview.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "pipeline/internal/answerreport.h"
#include "pipeline/internal/requestservice.h"
#include "pipeline/internal/stageattempt.h"
#include "pipeline/irequestobserver.h"
#include "protocol/refusalreasonname.h"
#include "protocol/types/stagerequest.h"
#include "quarantine/ipromptwatch.h"
#include "quarantine/quarantinemodule.h"
#include "quarantine/types/partassessment.h"
#include "retry/iretrypolicy.h"
#include "retry/istagebudget.h"
#include "routing/ihostselector.h"

#include <algorithm>
#include <utility>

namespace lavendertally::pipeline {

namespace {

bool generatesAnywhere(const configuration::Pipeline &pipeline)
{
    return std::any_of(pipeline.stages.begin(), pipeline.stages.end(),
                       [](const configuration::Stage &stage) {
                           return stage.maxTokens > framework::TokenCount(0);
                       });
}

} // namespace

RequestRun::RequestRun(RequestService &service, IRequestService::Ticket ticket,
                       CallerRequest request, IRequestObserver &observer)
    : m_service(service), m_context(service.context()), m_ticket(ticket),
      m_request(std::move(request)), m_observer(&observer), m_startedAt(m_context.clock.now()),
      m_payload(m_request.input),
      m_watch(quarantine::QuarantineModule::makePromptWatch(
          m_context.quarantine, m_context.clock, m_context.scheduler, m_request.promptParts))
{ }

RequestRun::~RequestRun() = default;

void RequestRun::schedule()
{
    m_observer->onCaughtUp([run = weak_from_this()] {
        const auto self = run.lock();
        if (self && self->m_attempt) {
            self->m_attempt->resumeReading();
        }
    });
    m_timer = m_context.scheduler.callAfter(framework::Milliseconds(0), [this] {
        const auto keepAlive = shared_from_this();
        begin();
    });
}

void RequestRun::begin()
{
    if (m_service.isDraining()) {
        giveUp(protocol::RefusalReason::Leaving, {});
        return;
    }
    m_plan =
        RequestPlan::make(m_request, m_context.configuration.current()->configuration, m_startedAt);
    if (m_plan.refusal != protocol::RefusalReason::None) {
        giveUp(m_plan.refusal, {});
        return;
    }
    if (const auto obstacle = m_watch->obstacle(); obstacle && generatesAnywhere(m_plan.pipeline)) {
        giveUpQuarantined(*obstacle);
        return;
    }
    m_deadlineTimer = m_context.scheduler.callAfter(remaining(), [this] {
        const auto keepAlive = shared_from_this();
        onDeadline();
    });
    runStage();
}

framework::Milliseconds RequestRun::remaining() const
{
    return m_plan.deadline - m_context.clock.now();
}

bool RequestRun::streamsStage() const
{
    return m_request.stream && isLastStage() && generates();
}

claims::ClaimKey RequestRun::claimKey() const
{
    return {m_request.team, m_request.id, stage().id};
}

std::uint64_t RequestRun::prefixHash() const
{
    return generates() ? m_payload.prefixHash() : 0;
}

void RequestRun::runStage()
{
    m_attempts = 0;
    m_backoff = framework::Milliseconds(0);
    m_excludedHosts.clear();
    m_holdsClaim = false;
    m_costs.push_back({stage().id, {}, {}, {}, 0});
    if (!stage().idempotent) {
        claimStage();
        return;
    }
    startAttempt();
}

void RequestRun::claimStage()
{
    const claims::ClaimRequest request{claimKey(), m_request.issuedAt, m_plan.deadline};
    // A claim that is granted after the request has ended is released, so that the next request
    // of the caller with the same id can run the stage.
    m_context.claims.claim(request,
                           [weak = weak_from_this(), &claims = m_context.claims,
                            key = request.key](const claims::ClaimAnswer &answer) {
                               const auto self = weak.lock();
                               if (self && self->m_observer != nullptr) {
                                   self->onClaim(answer);
                               } else if (answer.outcome == claims::ClaimOutcome::Granted) {
                                   claims.recordNotRun(key);
                               }
                           });
}

void RequestRun::onClaim(const claims::ClaimAnswer &answer)
{
    switch (answer.outcome) {
    case claims::ClaimOutcome::Granted:
        m_holdsClaim = true;
        startAttempt();
        return;
    case claims::ClaimOutcome::AlreadyDone:
        m_anyStageRan = true;
        m_nonIdempotentStageRan = true;
        if (!answer.resultKept) {
            giveUp(protocol::RefusalReason::ClaimedElsewhere,
                   "it ran before, but its result is not kept");
            return;
        }
        advance(answer.result);
        return;
    case claims::ClaimOutcome::HeldElsewhere:
        m_anyStageRan = true;
        m_nonIdempotentStageRan = true;
        giveUp(protocol::RefusalReason::ClaimedElsewhere,
               "another attempt under the same request id may have run it");
        return;
    case claims::ClaimOutcome::Unavailable:
        giveUp(protocol::RefusalReason::LogUnavailable, {});
        return;
    case claims::ClaimOutcome::TooOld:
        giveUp(protocol::RefusalReason::InvalidRequest,
               "issued_at lies outside the time for which claims are kept");
        return;
    }
}

void RequestRun::startAttempt()
{
    if (generates()) {
        if (const auto obstacle = m_watch->obstacle()) {
            giveUpQuarantined(*obstacle);
            return;
        }
    }
    const framework::Milliseconds budget = m_context.budgets.budgetFor(
        m_plan.pipeline, m_stageIndex, remaining(), m_context.clock.now());
    if (budget <= framework::Milliseconds(0)) {
        giveUp(protocol::RefusalReason::DeadlineUnreachable, {});
        return;
    }
    const framework::TimePoint now = m_context.clock.now();
    const routing::RoutingQuery query{stage().service, m_context.zone, prefixHash(),
                                      m_excludedHosts, budget};
    auto host = m_context.selector.selectHost(query, now);
    ++m_attempts;
    if (!host) {
        m_excludedHosts.clear();
        retryOrGiveUp(retry::FailureKind::NotRun, protocol::RefusalReason::NoCapacity, {});
        return;
    }
    if (m_attempts == 1) {
        m_context.retries.recordFirstAttempt(stage().service, now);
    }
    ++m_costs.back().attempts;
    protocol::StageRequest request;
    request.sender = m_context.self;
    request.revision = m_context.configuration.current()->revision;
    request.request = m_request.id;
    request.attempt = m_service.nextAttempt();
    request.team = m_request.team;
    request.pipeline = m_plan.pipeline.id;
    request.stage = stage().id;
    request.service = stage().service;
    request.priority = m_plan.pipeline.priority;
    request.share = m_plan.share;
    request.budget = budget;
    request.maxTokens = stage().maxTokens;
    request.idempotent = stage().idempotent;
    request.stream = streamsStage();
    request.payload = m_payload.build(stage());
    if (generates()) {
        m_watch->attemptSent();
    }
    m_attempt = std::make_unique<StageAttempt>(m_context, *host, request, *this);
}

void RequestRun::onAttemptText(const std::string &text)
{
    m_watch->textReceived();
    if (m_observer != nullptr) {
        m_observer->onText(text);
        if (m_observer->isBehind()) {
            m_attempt->pauseReading();
        }
    }
}

void RequestRun::onAttemptResult(const protocol::StageResult &result)
{
    const auto keepAlive = shared_from_this();
    switch (result.status) {
    case protocol::StageStatus::Done:
        onStageDone(result);
        return;
    case protocol::StageStatus::NotRun:
        onNotRun(result);
        return;
    case protocol::StageStatus::Unknown:
        onUnknown(result);
        return;
    }
}

void RequestRun::onStageDone(const protocol::StageResult &result)
{
    const framework::Milliseconds duration = m_context.clock.now() - m_attempt->startedAt();
    m_attempt.reset();
    if (generates()) {
        m_watch->answerCompleted();
    }
    m_anyStageRan = true;
    m_costs.back().cost += result.cost;
    m_costs.back().duration += duration;
    m_context.budgets.observe(m_plan.pipeline.id, stage().id, duration, m_context.clock.now());
    m_context.metrics.observe(
        "lavendertally_stage_ms",
        {{"pipeline", m_plan.pipeline.id.value()}, {"stage", stage().id.value()}}, duration);
    if (!stage().idempotent) {
        m_nonIdempotentStageRan = true;
        m_context.claims.recordDone(claimKey(), result.payload);
    }
    if (m_observer == nullptr) {
        end();
        return;
    }
    advance(result.payload);
}

void RequestRun::advance(const std::string &result)
{
    m_payload.addResult(stage().id, result);
    if (!isLastStage()) {
        ++m_stageIndex;
        runStage();
        return;
    }
    CallerAnswer answer;
    answer.outcome = RequestOutcome::Done;
    answer.safeToRepeat = !m_nonIdempotentStageRan;
    if (!streamsStage()) {
        answer.result = result;
    }
    finish(std::move(answer));
}

void RequestRun::onNotRun(const protocol::StageResult &result)
{
    m_excludedHosts.insert(m_attempt->host().id);
    m_attempt.reset();
    m_watch->attemptEnded();
    m_context.metrics.increment("lavendertally_refusals_total",
                                {{"service", stage().service.value()},
                                 {"reason", protocol::refusalReasonName(result.reason)}});
    retryOrGiveUp(retry::FailureKind::NotRun, result.reason, result.detail);
}

void RequestRun::onUnknown(const protocol::StageResult &result)
{
    m_anyStageRan = true;
    m_costs.back().wasted += result.cost;
    m_excludedHosts.insert(m_attempt->host().id);
    restartText(*m_attempt);
    const bool isSuspected = isLossSuspected(result);
    m_attempt.reset();
    if (!stage().idempotent) {
        m_nonIdempotentStageRan = true;
        m_holdsClaim = false;
        giveUp(protocol::RefusalReason::None, result.detail);
        return;
    }
    if (isSuspected) {
        awaitExplanation(result);
        return;
    }
    retryOrGiveUp(retry::FailureKind::Unknown, result.reason, result.detail);
}

bool RequestRun::isLossSuspected(const protocol::StageResult &result)
{
    if (!generates()) {
        return false;
    }
    if (result.crash) {
        m_context.logger.info("backend server crashed during a stage",
                              {{"request", m_request.id.value()},
                               {"stage", stage().id.value()},
                               {"host", m_attempt->host().id.value()},
                               {"crash", std::to_string(result.crash->value())}});
        m_watch->serverCrashed(*result.crash);
    }
    m_watch->attemptEnded();
    return m_watch->isSuspected();
}

void RequestRun::awaitExplanation(const protocol::StageResult &result)
{
    m_watch->awaitExplanation([this, result](bool isClear) {
        const auto keepAlive = shared_from_this();
        if (isClear) {
            retryOrGiveUp(retry::FailureKind::Unknown, result.reason, result.detail);
        } else {
            giveUp(protocol::RefusalReason::PromptQuarantined,
                   "prompt is suspected of crashing a backend server");
        }
    });
}

void RequestRun::restartText(const StageAttempt &attempt)
{
    if (attempt.hasText() && m_observer != nullptr) {
        m_observer->onRestart();
    }
}

void RequestRun::retryOrGiveUp(retry::FailureKind failure, protocol::RefusalReason reason,
                               const std::string &detail)
{
    retry::RetryQuery query;
    query.service = stage().service;
    query.failure = failure;
    query.idempotent = stage().idempotent;
    query.priority = m_plan.pipeline.priority;
    query.attempts = m_attempts;
    query.previousBackoff = m_backoff;
    query.budget = remaining();
    const retry::RetryDecision decision = m_context.retries.decide(query, m_context.clock.now());
    if (!decision.retry || m_observer == nullptr) {
        giveUp(reason, detail);
        return;
    }
    m_context.metrics.increment("lavendertally_retries_total",
                                {{"service", stage().service.value()}});
    m_backoff = decision.backoff;
    m_timer = m_context.scheduler.callAfter(m_backoff, [this] {
        const auto keepAlive = shared_from_this();
        startAttempt();
    });
}

void RequestRun::onDeadline()
{
    if (m_attempt == nullptr) {
        giveUp(protocol::RefusalReason::DeadlineUnreachable, "deadline passed");
        return;
    }
    m_anyStageRan = true;
    if (stage().idempotent) {
        m_attempt.reset();
        giveUp(protocol::RefusalReason::DeadlineUnreachable, "deadline passed");
        return;
    }
    // The call continues, and its claim stays held until the result is known.
    m_nonIdempotentStageRan = true;
    CallerAnswer answer;
    answer.outcome = RequestOutcome::Unknown;
    answer.reason = protocol::RefusalReason::DeadlineUnreachable;
    answer.detail = "deadline passed while a stage that may not be repeated was under way";
    deliver(std::move(answer));
}

void RequestRun::abandon()
{
    m_observer = nullptr;
    const bool isNonIdempotentInFlight = m_attempt != nullptr && !stage().idempotent;
    if (isNonIdempotentInFlight) {
        m_attempt->resumeReading();
        return;
    }
    m_context.metrics.increment("lavendertally_abandoned_requests_total", {});
    m_attempt.reset();
    if (m_holdsClaim) {
        m_context.claims.recordNotRun(claimKey());
    }
    end();
}

const StageAttempt *RequestRun::repeatableAttempt() const
{
    return m_attempt != nullptr && stage().idempotent ? m_attempt.get() : nullptr;
}

void RequestRun::failAttempt(const std::string &detail)
{
    protocol::StageResult result;
    result.status = protocol::StageStatus::Unknown;
    result.detail = detail;
    onAttemptResult(result);
}

void RequestRun::giveUpQuarantined(const quarantine::PartAssessment &assessment)
{
    const bool isBlamed = assessment.standing == quarantine::PartStanding::Blamed;
    giveUp(protocol::RefusalReason::PromptQuarantined,
           isBlamed ? "prompt part crashes backend servers" : "suspected prompt part is on trial",
           assessment.retryAfter);
}

void RequestRun::giveUp(protocol::RefusalReason reason, const std::string &detail,
                        framework::Milliseconds retryAfter)
{
    if (m_holdsClaim && m_attempt == nullptr) {
        m_context.claims.recordNotRun(claimKey());
        m_holdsClaim = false;
    }
    CallerAnswer answer;
    answer.outcome = m_anyStageRan ? RequestOutcome::Unknown : RequestOutcome::NotRun;
    answer.reason = reason;
    answer.detail = detail;
    answer.retryAfter = retryAfter;
    answer.safeToRepeat = !m_nonIdempotentStageRan;
    finish(std::move(answer));
}

void RequestRun::finish(CallerAnswer answer)
{
    deliver(std::move(answer));
    end();
}

void RequestRun::deliver(CallerAnswer answer)
{
    IRequestObserver *observer = std::exchange(m_observer, nullptr);
    if (observer == nullptr) {
        return;
    }
    m_deadlineTimer.reset();
    answer.elapsed = m_context.clock.now() - m_startedAt;
    answer.inTime = m_context.clock.now() <= m_plan.deadline;
    answer.stages = m_costs;
    reportAnswer(m_context, m_request, answer);
    observer->onAnswer(answer);
}

void RequestRun::end()
{
    m_timer.reset();
    m_deadlineTimer.reset();
    m_service.remove(m_ticket);
}

} // namespace lavendertally::pipeline
