#include "proxy/internal/activerequest.h"

#include "admission/types/placedecision.h"
#include "framework/iclock.h"
#include "framework/imetrics.h"
#include "framework/irandom.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "peers/idaemondirectory.h"
#include "proxy/internal/answertimeestimator.h"
#include "proxy/internal/attemptresult.h"
#include "proxy/internal/attemptwork.h"
#include "proxy/internal/firsteventestimator.h"
#include "proxy/internal/gatewayplaces.h"
#include "proxy/internal/iactiverequestowner.h"
#include "proxy/internal/placerefusaltext.h"
#include "proxy/internal/requestreport.h"
#include "proxy/internal/requestresolver.h"
#include "proxy/iresponsewriter.h"
#include "proxy/types/backendrequest.h"
#include "retry/iretrypolicy.h"
#include "routing/ibackendserverselector.h"
#include "serving/iservingstate.h"
#include "serving/types/servingconfiguration.h"

#include <algorithm>
#include <utility>

namespace lavendertally::proxy {

ActiveRequest::ActiveRequest(const ProxyContext &context, IActiveRequestOwner &owner,
                             IProxyService::Ticket ticket, ClientRequest request,
                             std::unique_ptr<IResponseWriter> response)
    : m_context(context), m_owner(owner), m_ticket(ticket), m_request(std::move(request)),
      m_response(std::move(response)), m_started(context.clock.now()),
      m_place(ticket, m_request, m_plan), m_stages(context, m_request, m_plan),
      m_guard(context, m_request), m_retries(context, m_request, m_plan, m_guard),
      m_capacity(context.scheduler, owner.places()),
      m_attempt(context, m_request, m_plan, m_guard, owner, *m_response, *this)
{ }

ActiveRequest::~ActiveRequest() = default;

void ActiveRequest::start()
{
    m_configurationAge = m_started - m_context.serving.confirmedAt();
    if (m_owner.isDraining()) {
        fail({RefusalKind::NotRun, {}, "shutting down"}, "shutting down");
        return;
    }
    if (const auto refusal = RequestResolver(m_context).resolve(m_request, m_started, m_plan)) {
        fail(*refusal, refusal->cause);
        return;
    }
    const framework::Milliseconds expected = m_owner.answerTimes().estimate(m_plan.route->id);
    if (m_owner.end() - m_started < expected) {
        fail({RefusalKind::NotRun, {}, "would not end before the shutdown"},
             "would not end before the shutdown");
        return;
    }
    if (const auto refusal = m_guard.check()) {
        fail(*refusal, refusal->cause);
        return;
    }
    m_deadline = m_started
        + std::min(m_request.timeLeft.value_or(m_plan.route->timeout), m_plan.route->timeout);
    m_deadlineTimer = m_context.scheduler.callAfter(timeLeft(), [this] { end("time is up"); });
    m_place.begin(m_started, m_deadline);
    m_context.retries.recordFirstAttempt(m_plan.service, m_started);
    nextAttempt();
}

void ActiveRequest::startStages()
{
    protocol::StageJob job;
    job.objectiveLeft = m_plan.route->latencyObjective - elapsed()
        - m_owner.firstEvents().estimate(m_plan.service, m_request.promptTokens);
    job.timeLeft = timeLeft();
    job.worth = m_owner.relativeWorth(m_plan.route->id, m_request.weightedSize());
    job.zone = preferredZone();
    m_stages.start(std::move(job),
                   [this](const protocol::StageJobOutcome &outcome) { stagesEnded(outcome); });
}

/// Returns the zone of the backend server that would be selected now, so that the stages leave
/// their results near it.
framework::AvailabilityZoneId ActiveRequest::preferredZone()
{
    const auto server = m_context.selector.select(serverQuery(), m_context.clock.now());
    return server ? server->zone : m_context.zone;
}

/// Adds up to a quarter of \p wait at random, so that refused clients do not return together.
framework::Milliseconds ActiveRequest::spread(framework::Milliseconds wait) const
{
    const auto range = static_cast<std::uint64_t>(wait.value() / 4 + 1);
    return wait + framework::Milliseconds(static_cast<std::int64_t>(m_context.random.below(range)));
}

void ActiveRequest::stagesEnded(const protocol::StageJobOutcome &outcome)
{
    const bool isDone = outcome.status == protocol::StageJobStatus::Done;
    if (isDone) {
        sendAttempt();
        return;
    }
    const bool overloaded = outcome.status == protocol::StageJobStatus::Overloaded;
    const framework::Milliseconds retryAfter =
        overloaded ? spread(outcome.retryAfter) : outcome.retryAfter;
    endUnsent({RefusalKind::NotRun, retryAfter, overloaded ? "stages overloaded" : "stages failed"},
              "stream broke; stages could not be repeated");
}

admission::PlaceRequest ActiveRequest::placeRequest() const
{
    // Attempts that were not run have cost the request its time.
    return m_place.make(!m_stages.results().empty() || m_retries.attempts().count() > 0);
}

routing::ServerQuery ActiveRequest::serverQuery() const
{
    routing::ServerQuery query;
    query.service = m_plan.service;
    query.excluded = m_retries.attempts().excluded();
    query.zone = m_stages.zone().value_or(m_context.zone);
    if (m_plan.route->promptAffinity) {
        query.prefixHash = m_request.promptPrefixHash;
    }
    query.work = expectedWork(m_request, m_plan, elapsed());
    if (const serving::ServiceSpec *spec = m_plan.configuration->findService(m_plan.service)) {
        query.coldStartRate = static_cast<double>(spec->coldRequestsPerSecond)
            / static_cast<double>(m_context.directory.limitSharerCount());
    }
    return query;
}

/// Stage results are released when a stream begins, so a stream that resumes at another backend
/// server runs its stages again.
void ActiveRequest::nextAttempt()
{
    if (m_stages.areNeeded()) {
        startStages();
        return;
    }
    sendAttempt();
}

void ActiveRequest::sendAttempt()
{
    if (const auto refusal = m_guard.check()) {
        endUnsent(*refusal, refusal->cause);
        return;
    }
    m_capacity.requestPlace(
        placeRequest(), [this] { sendAdmitted(); },
        [this](const admission::PlaceDecision &decision) {
            const char *cause = textOf(decision.refusal);
            endUnsent({RefusalKind::NotRun, decision.retryAfter, cause}, cause);
        });
}

void ActiveRequest::sendAdmitted()
{
    // A prompt may have come under suspicion while the request waited.
    if (const auto refusal = m_guard.check()) {
        endUnsent(*refusal, refusal->cause);
        return;
    }
    const auto server = m_context.selector.select(serverQuery(), m_context.clock.now());
    if (!server) {
        noServer();
        return;
    }
    m_capacity.reset();
    m_retries.attempts().begin();
    BackendRequest attempt;
    attempt.request = &m_request;
    attempt.server = *server;
    attempt.timeLeft = timeLeft();
    attempt.team = m_plan.teamId();
    if (!m_stages.results().empty()) {
        attempt.inputs.emplace();
        for (const protocol::StageResultPlace &place : m_stages.results()) {
            attempt.inputs->push_back(place.id);
        }
    }
    attempt.atMostOnce = !m_plan.route->isIdempotent();
    attempt.needsNewConnection = m_stagesRerun;
    m_attempt.send(std::move(attempt));
}

/// Waits briefly if backend servers name rate limits, since permits are on their way; refuses the
/// request otherwise.
void ActiveRequest::noServer()
{
    const auto interval = m_context.selector.rateLimitedInterval(m_plan.service);
    const framework::Milliseconds pause =
        m_context.selector.pauseOf(m_plan.service, m_context.clock.now());
    const bool areAllPaused = pause > framework::Milliseconds(0);
    if (interval && !areAllPaused
        && m_capacity.waitForPermit(timeLeft(), [this] { sendAdmitted(); })) {
        return;
    }
    const char *cause = interval ? "backend servers limit their requests" : "no backend server";
    if (areAllPaused) {
        cause = "backend servers want no requests for now";
    }
    const framework::Milliseconds retryAfter = std::max(
        {m_context.limits.retryAfter, interval.value_or(framework::Milliseconds(0)), pause});
    endUnsent({RefusalKind::NotRun, retryAfter, cause}, "stream broke; no backend server left");
}

/// Ends the request because its next attempt must not be sent.
void ActiveRequest::endUnsent(Refusal refusal, const char *streamOutcome)
{
    if (m_attempt.mayHaveRun()) {
        refusal.kind = RefusalKind::ResponseLost;
    }
    fail(refusal, streamOutcome);
}

void ActiveRequest::onStreamStarted()
{
    m_context.metrics.observe("lavendertally_first_event_ms", {{"route", m_plan.route->id.value()}},
                              elapsed());
    m_owner.firstEvents().observe(m_plan.service, m_request.promptTokens,
                                  m_context.clock.now() - m_attempt.started());
    m_stages.release();
}

void ActiveRequest::onAttemptEnded(AttemptResult result)
{
    switch (result) {
    case AttemptResult::NotSent:
        attemptNotSent();
        return;
    case AttemptResult::Refused:
        attemptRefused();
        return;
    case AttemptResult::Answered:
        finishAnswered();
        return;
    case AttemptResult::Received:
        forwardResponse();
        return;
    case AttemptResult::Failed:
        attemptFailed();
        return;
    case AttemptResult::StreamBroken:
        streamBroken();
        return;
    case AttemptResult::PassedOnBodyBroken:
        fail({RefusalKind::ResponseLost, {}, "answer lost"}, "answer broke off");
        return;
    }
}

void ActiveRequest::attemptNotSent()
{
    m_retries.attempts().exclude(m_attempt.server());
    m_retries.attempts().discardLast();
    if (m_retries.attempts().recordConnectFailure()) {
        sendAttempt();
        return;
    }
    const char *cause = m_attempt.wasRejected() ? "backend servers accept no further connection"
                                                : "backend servers unreachable";
    endUnsent({RefusalKind::NotRun, m_context.limits.retryAfter, cause},
              "stream broke; refused elsewhere");
}

void ActiveRequest::attemptRefused()
{
    RequestAttempts &attempts = m_retries.attempts();
    attempts.exclude(m_attempt.server());
    // The backend server reports that stage results of the request no longer exist. The stages are
    // run again once; this does not use up an attempt.
    constexpr int InputsGone = 409;
    if (m_attempt.head()->status == InputsGone && !m_stagesRerun) {
        m_stagesRerun = true;
        attempts.readmit(m_attempt.server());
        attempts.discardLast();
        m_stages.release();
        startStages();
        return;
    }
    if (scheduleRetry(false)) {
        return;
    }
    endUnsent({RefusalKind::NotRun, m_owner.places().retryAfter(placeRequest()),
               "refused by backend server"},
              "stream broke; refused elsewhere");
}

void ActiveRequest::attemptFailed()
{
    m_retries.attempts().exclude(m_attempt.server());
    if (m_attempt.wasRejected() && m_retries.attempts().recordConnectFailure()) {
        // A full backend server does not use up one of the route's attempts.
        m_retries.attempts().discardLast();
    }
    if (m_plan.route->isIdempotent() && scheduleRetry(true)) {
        return;
    }
    forwardResponse();
}

void ActiveRequest::streamBroken()
{
    m_retries.attempts().exclude(m_attempt.server());
    if (m_plan.route->resumable && scheduleRetry(true)) {
        return;
    }
    fail({RefusalKind::ResponseLost, {}, "stream broke before its first event"}, "stream broke");
}

void ActiveRequest::forwardResponse()
{
    if (!m_attempt.forwardResponse()) {
        fail({RefusalKind::ResponseLost, {}, "answer lost"},
             m_attempt.isComplete() ? "stream broke; answered without a stream elsewhere"
                                    : "stream broke; answer lost elsewhere");
        return;
    }
    if (m_attempt.hasFailed()) {
        finish("backend server failed");
        return;
    }
    finishAnswered();
}

bool ActiveRequest::scheduleRetry(bool mayHaveRun)
{
    return m_retries.schedule(
        m_attempt.server(), mayHaveRun, [this] { return timeLeft(); }, [this] { nextAttempt(); },
        [this](const char *cause) {
            endUnsent({RefusalKind::ResponseLost, {}, cause}, cause);
        });
}

void ActiveRequest::end(const char *cause)
{
    const bool possiblyRan = m_attempt.mayHaveRun();
    m_attempt.cancel(true);
    if (possiblyRan) {
        fail({RefusalKind::TimedOut, {}, cause}, cause);
        return;
    }
    fail({RefusalKind::NotRun, m_context.limits.retryAfter, cause}, cause);
}

void ActiveRequest::abandon()
{
    if (m_ended) {
        return;
    }
    // A non-idempotent call may have had effects already; cancelling it would not undo them.
    const bool mustFinish =
        m_attempt.isInFlight() && m_plan.route->kind == serving::RouteKind::NonIdempotent;
    if (mustFinish) {
        m_attempt.clientLeft();
        return;
    }
    m_attempt.cancel(false);
    finish("client hung up");
}

void ActiveRequest::fail(const Refusal &refusal, const char *streamOutcome)
{
    if (m_attempt.isStreaming()) {
        m_response->abort();
        finish(streamOutcome);
        return;
    }
    m_response->refuse(refusal);
    m_context.metrics.increment("lavendertally_refusals_total", {{"cause", refusal.cause}});
    finish(refusal.cause);
}

void ActiveRequest::finishAnswered()
{
    // What a slow client adds says nothing of the next request.
    const framework::Milliseconds heldTime = m_attempt.pacer().heldTime();
    m_owner.answerTimes().observe(m_plan.route->id, elapsed() - heldTime);
    m_owner.places().answered(placeRequest(),
                              m_context.clock.now() - m_attempt.started() - heldTime);
    finish("done");
}

void ActiveRequest::finish(const char *outcome)
{
    m_ended = true;
    m_deadlineTimer.reset();
    m_retries.cancel();
    m_capacity.cancel();
    m_guard.cancel();
    m_attempt.stop();
    m_stages.cancel();
    m_stages.release();
    RequestReport{.request = m_request,
                  .plan = m_plan,
                  .attempt = m_attempt,
                  .outcome = outcome,
                  .configurationAge = m_configurationAge,
                  .attempts = m_retries.attempts().count(),
                  .stagesTime = m_stages.timeTaken(),
                  .elapsed = elapsed()}
        .write(m_context, m_owner.teamLabels());
    m_owner.onRequestEnded(*this);
}

framework::Milliseconds ActiveRequest::elapsed() const
{
    return m_context.clock.now() - m_started;
}

framework::Milliseconds ActiveRequest::timeLeft() const
{
    return std::max(m_deadline - m_context.clock.now(), framework::Milliseconds(0));
}

} // namespace lavendertally::proxy
