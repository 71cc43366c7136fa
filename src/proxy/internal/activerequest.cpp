#include "proxy/internal/activerequest.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "peers/idaemondirectory.h"
#include "proxy/ibackendcall.h"
#include "proxy/ibackendclient.h"
#include "proxy/internal/answertimeestimator.h"
#include "proxy/internal/firsteventestimator.h"
#include "proxy/internal/iactiverequestowner.h"
#include "proxy/internal/requestresolver.h"
#include "proxy/iresponsewriter.h"
#include "proxy/types/backendrequest.h"
#include "proxy/types/streamevent.h"
#include "retry/iretrypolicy.h"
#include "routing/ibackendserverselector.h"
#include "serving/iservingstate.h"
#include "serving/types/servingconfiguration.h"

#include <algorithm>
#include <utility>

namespace lavendertally::proxy {

namespace {

constexpr int FirstServerError = 500;

/// Generating an output token takes about ten times as long as processing a prompt token.
constexpr std::int64_t OutputTokenCost = 10;

/// How long a request waits for a permit before it asks again, and how often: a little longer than
/// a daemon waits between two requests for permits.
constexpr framework::Milliseconds PermitWait{50};
constexpr std::uint32_t MaxPermitWaits = 6;

/// \return whether clients take the status to mean that the request did not run, which a backend
/// server does not state by it
bool impliesNotRun(const ResponseHead &head)
{
    constexpr int TooManyRequests = 429;
    constexpr int Unavailable = 503;
    return head.status == TooManyRequests || head.status == Unavailable;
}

} // namespace

ActiveRequest::ActiveRequest(const ProxyContext &context, IActiveRequestOwner &owner,
                             IProxyService::Ticket ticket, ClientRequest request,
                             std::unique_ptr<IResponseWriter> response)
    : m_context(context), m_owner(owner), m_ticket(ticket), m_request(std::move(request)),
      m_response(std::move(response)), m_started(context.clock.now()),
      m_stages(context, m_request, m_plan), m_attempts(context, m_request, m_plan),
      m_guard(context, m_request), m_completion(context),
      m_pacer(context.clock, owner.heldSources(), *m_response), m_lastEventId(m_request.lastEventId)
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
    m_context.retries.recordFirstAttempt(m_plan.service, m_started);
    nextAttempt();
}

bool ActiveRequest::isStream() const
{
    return m_plan.route->kind == serving::RouteKind::Streaming;
}

void ActiveRequest::startStages()
{
    const framework::TokenCount size =
        m_request.promptTokens + m_request.maxOutputTokens * OutputTokenCost;
    protocol::StageJob job;
    job.objectiveLeft = m_plan.route->latencyObjective - elapsed()
        - m_owner.firstEvents().estimate(m_plan.service, m_request.promptTokens);
    job.timeLeft = timeLeft();
    job.worth = m_owner.relativeWorth(m_plan.route->id, size);
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

void ActiveRequest::stagesEnded(const protocol::StageJobOutcome &outcome)
{
    if (outcome.status == protocol::StageJobStatus::Done) {
        sendAttempt();
        return;
    }
    const bool overloaded = outcome.status == protocol::StageJobStatus::Overloaded;
    fail({RefusalKind::NotRun, outcome.retryAfter,
          overloaded ? "stages overloaded" : "stages failed"},
         "stream broke; stages could not be repeated");
}

routing::ServerQuery ActiveRequest::serverQuery() const
{
    routing::ServerQuery query;
    query.service = m_plan.service;
    query.excluded = m_attempts.excluded();
    query.zone = m_stages.zone().value_or(m_context.zone);
    if (m_plan.route->promptAffinity) {
        query.prefixHash = m_request.promptPrefixHash;
    }
    if (const serving::ServiceSpec *spec = m_plan.configuration->findService(m_plan.service)) {
        query.coldStartRate = static_cast<double>(spec->coldRequestsPerSecond)
            / static_cast<double>(m_context.directory.limitSharerCount());
    }
    return query;
}

void ActiveRequest::sendAttempt()
{
    if (const auto refusal = m_guard.check()) {
        endUnsent(*refusal);
        return;
    }
    const framework::TimePoint now = m_context.clock.now();
    const auto server = m_context.selector.select(serverQuery(), now);
    if (!server) {
        noServer();
        return;
    }
    m_permitWaits = 0;
    m_server = server->id;
    m_head.reset();
    m_body.clear();
    m_attemptStarted = now;
    m_attempts.begin();
    m_guard.attemptSent(*server);
    m_completion.attemptSent(*server);
    BackendRequest attempt;
    attempt.request = &m_request;
    attempt.server = *server;
    attempt.timeLeft = timeLeft();
    attempt.team = m_plan.team != nullptr ? m_plan.team->id : framework::TeamId();
    if (!m_stages.results().empty()) {
        attempt.inputs.emplace();
        for (const protocol::StageResultPlace &place : m_stages.results()) {
            attempt.inputs->push_back(place.id);
        }
    }
    attempt.resumeAfter = m_lastEventId;
    attempt.atMostOnce = !m_plan.route->isIdempotent();
    attempt.needsNewConnection = m_stagesRerun;
    m_context.selector.callStarted(m_server, now);
    m_call = m_context.backends.send(attempt, *this);
    m_pacer.sourceStarted(*m_call);
}

/// Waits briefly if backend servers name rate limits, since permits are on their way; refuses the
/// request otherwise.
void ActiveRequest::noServer()
{
    const auto interval = m_context.selector.rateLimitedInterval(m_plan.service);
    const framework::Milliseconds pause =
        m_context.selector.pauseOf(m_plan.service, m_context.clock.now());
    const bool areAllPaused = pause > framework::Milliseconds(0);
    if (interval && !areAllPaused && m_permitWaits < MaxPermitWaits && timeLeft() > PermitWait) {
        ++m_permitWaits;
        m_backoffTimer = m_context.scheduler.callAfter(PermitWait, [this] { sendAttempt(); });
        return;
    }
    const char *cause = interval ? "backend servers limit their requests" : "no backend server";
    if (areAllPaused) {
        cause = "backend servers want no requests for now";
    }
    const framework::Milliseconds retryAfter = std::max(
        {m_context.limits.retryAfter, interval.value_or(framework::Milliseconds(0)), pause});
    fail({mayHaveRun() ? RefusalKind::ResponseLost : RefusalKind::NotRun, retryAfter, cause},
         "stream broke; no backend server left");
}

/// Ends the request because its next attempt must not be sent.
void ActiveRequest::endUnsent(Refusal refusal)
{
    if (mayHaveRun()) {
        refusal.kind = RefusalKind::ResponseLost;
    }
    fail(refusal, refusal.cause);
}

void ActiveRequest::dropCall()
{
    m_pacer.sourceEnded();
    m_call.reset();
}

void ActiveRequest::endAttempt(routing::CallOutcome outcome)
{
    m_guard.attemptEnded();
    m_context.selector.callEnded(m_server, outcome, m_context.clock.now());
}

void ActiveRequest::onHead(const ResponseHead &head)
{
    const framework::TimePoint now = m_context.clock.now();
    m_context.selector.responseStarted(m_server, m_attemptStarted, now);
    if (head.load) {
        m_context.selector.observeLoad(m_server, *head.load, now);
    }
    if (head.retryAfter) {
        m_context.selector.observePause(m_server, now + *head.retryAfter);
    }
    if (head.isSigned || head.notExecuted || head.rateLimit) {
        m_context.selector.observeRateLimit(m_server, head.rateLimit, m_attemptStarted, now);
    }
    m_head = head;
}

void ActiveRequest::onBody(std::string_view data)
{
    if (m_passesBodyOn) {
        passOn(data);
        if (m_pacer.written() > m_context.limits.maxResponseBody) {
            dropCall();
            onEnd(BackendCallEnd::Broken);
        }
        return;
    }
    m_body.append(data);
    if (std::ssize(m_body) <= m_context.limits.maxKeptBody.value()) {
        return;
    }
    if (m_streaming || !isFinalByHead()) {
        m_body.clear();
        dropCall();
        onEnd(BackendCallEnd::Broken);
        return;
    }
    m_passesBodyOn = true;
    m_streaming = true;
    m_response->startStream(*m_head);
    passOn(std::exchange(m_body, {}));
}

bool ActiveRequest::isFinalByHead() const
{
    if (m_head->isSuccess()) {
        return m_head->isSigned && !m_head->notExecuted;
    }
    return m_head->status < FirstServerError && !m_head->notExecuted && !impliesNotRun(*m_head);
}

void ActiveRequest::passOn(std::string_view part)
{
    m_response->sendPart(part);
    m_pacer.partWritten(framework::Bytes(std::ssize(part)));
    if (m_pacer.isHolding()) {
        m_completion.answerHeldBack();
    }
}

void ActiveRequest::onEvent(const StreamEvent &event)
{
    if (!m_head->isSuccess() || m_head->notExecuted || !m_head->isSigned) {
        return;
    }
    if (event.id) {
        if (m_lastEventId && *event.id <= *m_lastEventId) {
            // The client already has this event; a resumed stream may repeat it.
            return;
        }
        if (m_lastEventId && *event.id != m_lastEventId->next()) {
            // Events were lost. The client must not see a gap, so the attempt counts as broken.
            dropCall();
            onEnd(BackendCallEnd::Broken);
            return;
        }
        m_lastEventId = event.id;
    }
    if (!m_streaming) {
        m_streaming = true;
        m_context.metrics.observe("lavendertally_first_event_ms",
                                  {{"route", m_plan.route->id.value()}}, elapsed());
        m_owner.firstEvents().observe(m_plan.service, m_request.promptTokens,
                                      m_context.clock.now() - m_attemptStarted);
        m_response->startStream(*m_head);
        m_stages.release();
    }
    m_guard.eventReceived();
    passOn(event.text);
}

void ActiveRequest::onServerClosing()
{
    if (m_head && !m_head->notExecuted) {
        m_completion.serverClosing(*m_head);
    }
}

void ActiveRequest::onEnd(BackendCallEnd end)
{
    if (end == BackendCallEnd::Complete && m_head && !m_head->notExecuted) {
        m_completion.decide(*m_head, [this](bool isWhole) {
            callEnded(isWhole ? BackendCallEnd::Complete : BackendCallEnd::Broken);
        });
        return;
    }
    callEnded(end);
}

void ActiveRequest::callEnded(BackendCallEnd end)
{
    const bool wasHeldBack = m_pacer.isHolding();
    dropCall();
    const bool notExecuted = m_head && m_head->notExecuted;
    if (end == BackendCallEnd::NotSent || notExecuted) {
        attemptNotRun(end);
        return;
    }
    m_priorAttemptMayHaveRun = true;
    if (end == BackendCallEnd::Malformed) {
        m_context.logger.warning("backend server sent no answer in the protocol; attempt ended",
                                 {{"request", m_request.id.value()},
                                  {"backend_server", m_server.value()},
                                  {"passed_on_bytes", std::to_string(m_pacer.written().value())}});
        m_context.metrics.increment("lavendertally_malformed_answers_total", {});
    }
    if (end == BackendCallEnd::Complete) {
        attemptEnded(end);
        return;
    }
    // A call that is held back ends only because its time is up.
    const bool hasRunOutOfTime = wasHeldBack && end == BackendCallEnd::Broken;
    endAttempt(hasRunOutOfTime ? routing::CallOutcome::Cancelled
                               : routing::CallOutcome::TransportFailed);
    m_guard.examineLoss([this, end] { attemptEnded(end); });
}

void ActiveRequest::attemptEnded(BackendCallEnd end)
{
    if (isStream() && m_head && m_head->isSuccess() && m_head->isEventStream) {
        streamEnded(end);
        return;
    }
    responseEnded(end);
}

void ActiveRequest::attemptNotRun(BackendCallEnd end)
{
    const bool unsent = end == BackendCallEnd::NotSent;
    endAttempt(unsent ? routing::CallOutcome::TransportFailed : routing::CallOutcome::Refused);
    m_attempts.exclude(m_server);
    // The backend server reports that stage results of the request no longer exist. The stages are
    // run again once; this does not use up an attempt.
    constexpr int InputsGone = 409;
    if (!unsent && m_head->status == InputsGone && !m_stagesRerun) {
        m_stagesRerun = true;
        m_attempts.readmit(m_server);
        m_attempts.discardLast();
        m_stages.release();
        startStages();
        return;
    }
    if (unsent) {
        m_attempts.discardLast();
        if (m_attempts.recordConnectFailure()) {
            sendAttempt();
            return;
        }
    } else if (scheduleRetry(false)) {
        return;
    }
    fail({RefusalKind::NotRun, m_context.limits.retryAfter,
          unsent ? "backend servers unreachable" : "refused by backend server"},
         "stream broke; refused elsewhere");
}

void ActiveRequest::streamEnded(BackendCallEnd end)
{
    const bool complete = end == BackendCallEnd::Complete && m_head->isSigned;
    if (end == BackendCallEnd::Complete) {
        endAttempt(complete ? routing::CallOutcome::Succeeded
                            : routing::CallOutcome::TransportFailed);
    }
    if (complete) {
        if (m_streaming) {
            m_guard.answerCompleted();
        } else {
            m_response->startStream(*m_head);
        }
        m_response->endStream();
        finishAnswered();
        return;
    }
    m_attempts.exclude(m_server);
    if (m_plan.route->resumable && scheduleRetry(true)) {
        return;
    }
    fail({RefusalKind::ResponseLost, {}, "stream broke before its first event"}, "stream broke");
}

void ActiveRequest::responseEnded(BackendCallEnd end)
{
    const bool complete = end == BackendCallEnd::Complete && m_head;
    if (m_passesBodyOn) {
        passedOnBodyEnded(complete);
        return;
    }
    const bool failed = !complete || m_head->status >= FirstServerError
        || (m_head->isSuccess() && !m_head->isSigned);
    if (complete) {
        endAttempt(failed ? routing::CallOutcome::Failed : routing::CallOutcome::Succeeded);
    }
    // A rejection says nothing about what the prompt does to a backend server.
    if (!failed && m_head->isSuccess()) {
        m_guard.answerCompleted();
    }
    if (failed) {
        m_attempts.exclude(m_server);
        if (m_plan.route->isIdempotent() && scheduleRetry(true)) {
            return;
        }
    }
    const bool unsignedSuccess = complete && m_head->isSuccess() && !m_head->isSigned;
    // A whole response cannot go on a stream that has begun.
    if (m_streaming || !complete || impliesNotRun(*m_head) || unsignedSuccess) {
        fail({RefusalKind::ResponseLost, {}, "answer lost"},
             complete ? "stream broke; answered without a stream elsewhere"
                      : "stream broke; answer lost elsewhere");
        return;
    }
    m_response->reply(*m_head, m_body);
    if (failed) {
        finish("backend server failed");
        return;
    }
    finishAnswered();
}

void ActiveRequest::passedOnBodyEnded(bool complete)
{
    if (complete) {
        endAttempt(routing::CallOutcome::Succeeded);
        if (m_head->isSuccess()) {
            m_guard.answerCompleted();
        }
        m_response->endStream();
        finishAnswered();
        return;
    }
    fail({RefusalKind::ResponseLost, {}, "answer lost"}, "answer broke off");
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

bool ActiveRequest::scheduleRetry(bool mayHaveRun)
{
    if (mayHaveRun && m_guard.isSuspected()) {
        m_guard.awaitExplanation([this](bool isClear) {
            if (!isClear || !scheduleBackoff(true)) {
                endUnsent({RefusalKind::ResponseLost,
                           {},
                           isClear ? "answer lost" : "prompt suspected of crashing a server"});
            }
        });
        return true;
    }
    return scheduleBackoff(mayHaveRun);
}

bool ActiveRequest::scheduleBackoff(bool mayHaveRun)
{
    const auto backoff = m_attempts.nextBackoff(m_server, mayHaveRun, timeLeft());
    if (!backoff) {
        return false;
    }
    m_backoffTimer = m_context.scheduler.callAfter(*backoff, [this] { nextAttempt(); });
    return true;
}

void ActiveRequest::end(const char *cause)
{
    const bool possiblyRan = mayHaveRun();
    if (m_call) {
        dropCall();
        // A backend server that has not begun to respond by now counts as a transport failure.
        endAttempt(m_head ? routing::CallOutcome::Cancelled
                          : routing::CallOutcome::TransportFailed);
    }
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
    const bool mustFinish = m_call && m_plan.route->kind == serving::RouteKind::NonIdempotent;
    if (mustFinish) {
        m_pacer.clientLeft();
        return;
    }
    if (m_call) {
        dropCall();
        endAttempt(routing::CallOutcome::Cancelled);
    }
    finish("client hung up");
}

void ActiveRequest::fail(const Refusal &refusal, const char *streamOutcome)
{
    if (m_streaming) {
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
    m_owner.answerTimes().observe(m_plan.route->id, elapsed() - m_pacer.heldTime());
    finish("done");
}

void ActiveRequest::finish(const char *outcome)
{
    m_ended = true;
    m_deadlineTimer.reset();
    m_backoffTimer.reset();
    m_guard.cancel();
    m_completion.cancel();
    m_stages.cancel();
    m_stages.release();
    const std::string route = m_plan.route != nullptr ? m_plan.route->id.value() : std::string();
    const std::string version =
        m_plan.configuration ? std::to_string(m_plan.configuration->version().value()) : "none";
    m_context.logger.info("request ended",
                          {{"request", m_request.id.value()},
                           {"route", route},
                           {"configuration", version},
                           {"configuration_age_ms", std::to_string(m_configurationAge.value())},
                           {"outcome", outcome},
                           {"backend_server", m_server.value()},
                           {"attempts", std::to_string(m_attempts.count())},
                           {"stages_ms", std::to_string(m_stages.timeTaken().value())},
                           {"passed_on_bytes", std::to_string(m_pacer.written().value())},
                           {"held_back_ms", std::to_string(m_pacer.heldTime().value())},
                           {"elapsed_ms", std::to_string(elapsed().value())}});
    m_context.metrics.increment("lavendertally_requests_total",
                                {{"route", route}, {"outcome", outcome}});
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
