#include "proxy/internal/requestrun.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "peers/idaemondirectory.h"
#include "proxy/ibackendcall.h"
#include "proxy/ibackendclient.h"
#include "proxy/internal/irequestrunowner.h"
#include "proxy/internal/requestgate.h"
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

/// Output tokens take about ten times as long as prompt tokens.
constexpr std::int64_t OutputTokenWeight = 10;

} // namespace

RequestRun::RequestRun(const ProxyContext &context, IRequestRunOwner &owner,
                       IProxyService::Ticket ticket, ClientRequest request,
                       std::unique_ptr<IResponseWriter> reply)
    : m_context(context), m_owner(owner), m_ticket(ticket), m_request(std::move(request)),
      m_reply(std::move(reply)), m_started(context.clock.now()),
      m_stages(context, m_request, m_plan), m_attempts(context, m_request, m_plan),
      m_lastEvent(m_request.lastEventId)
{ }

RequestRun::~RequestRun() = default;

void RequestRun::start()
{
    if (m_owner.isDraining()) {
        refuse({RefusalKind::NotRun, {}, "shutting down"});
        return;
    }
    if (const auto refusal = RequestGate(m_context).check(m_request, m_started, m_plan)) {
        refuse(*refusal);
        return;
    }
    m_expires = m_started
        + std::min(m_request.timeLeft.value_or(m_plan.route->timeout), m_plan.route->timeout);
    m_expiry = m_context.scheduler.callAfter(timeLeft(), [this] { end("time is up"); });
    m_context.retries.recordFirstAttempt(m_plan.service, m_started);
    nextAttempt();
}

bool RequestRun::isStream() const
{
    return m_plan.route->kind == serving::RouteKind::Streaming;
}

void RequestRun::startStages()
{
    const framework::TokenCount size =
        m_request.promptTokens + m_request.maxOutputTokens * OutputTokenWeight;
    protocol::StageJob job;
    job.objectiveLeft =
        m_plan.route->latencyObjective - elapsed() - m_owner.firstEventTime(m_plan.route->id);
    job.timeLeft = timeLeft();
    job.worth = m_owner.worthOf(m_plan.route->id, size);
    job.zone = wantedZone();
    m_stages.start(std::move(job),
                   [this](const protocol::StageJobOutcome &outcome) { stagesEnded(outcome); });
}

/// Zone of the backend server that would run the request now.
framework::AvailabilityZoneId RequestRun::wantedZone()
{
    const auto server = m_context.selector.select(serverQuery(), m_context.clock.now());
    return server ? server->zone : m_context.zone;
}

void RequestRun::stagesEnded(const protocol::StageJobOutcome &outcome)
{
    if (outcome.status == protocol::StageJobStatus::Done) {
        sendAttempt();
        return;
    }
    const bool overloaded = outcome.status == protocol::StageJobStatus::Overloaded;
    if (m_streaming) {
        m_reply->abort();
        finish("stream broke; stages could not be repeated");
        return;
    }
    refuse({RefusalKind::NotRun, outcome.retryAfter,
            overloaded ? "stages overloaded" : "stages failed"});
}

routing::ServerQuery RequestRun::serverQuery() const
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

void RequestRun::sendAttempt()
{
    const framework::TimePoint now = m_context.clock.now();
    const auto server = m_context.selector.select(serverQuery(), now);
    if (!server) {
        if (m_streaming) {
            m_reply->abort();
            finish("stream broke; no backend server left");
            return;
        }
        refuse({mayHaveRun() ? RefusalKind::ResponseLost : RefusalKind::NotRun,
                m_context.limits.retryAfter, "no backend server"});
        return;
    }
    m_server = server->id;
    m_head.reset();
    m_body.clear();
    m_attemptStarted = now;
    m_attempts.begin();
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
    attempt.resumeAfter = m_lastEvent;
    attempt.atMostOnce = !m_plan.route->isIdempotent();
    m_context.selector.callStarted(m_server, now);
    m_call = m_context.backends.send(attempt, *this);
}

void RequestRun::endAttempt(routing::CallOutcome outcome)
{
    m_context.selector.callEnded(m_server, outcome, m_context.clock.now());
}

void RequestRun::onHead(const ResponseHead &head)
{
    const framework::TimePoint now = m_context.clock.now();
    m_context.selector.responseStarted(m_server, m_attemptStarted, now);
    if (head.load) {
        m_context.selector.observeLoad(m_server, *head.load, now);
    }
    m_head = head;
}

void RequestRun::onBody(std::string_view data)
{
    m_body.append(data);
}

void RequestRun::onEvent(const StreamEvent &event)
{
    if (!m_head->isSuccess() || m_head->notExecuted || !m_head->isSigned) {
        return;
    }
    if (event.id) {
        if (m_lastEvent && *event.id <= *m_lastEvent) {
            return;
        }
        if (m_lastEvent && *event.id != m_lastEvent->next()) {
            // Nothing may be missing; the attempt is over.
            m_call.reset();
            onEnd(BackendCallEnd::Broken);
            return;
        }
        m_lastEvent = event.id;
    }
    if (!m_streaming) {
        m_streaming = true;
        m_context.metrics.observe("lavendertally_first_event_ms",
                                  {{"route", m_plan.route->id.value()}}, elapsed());
        m_owner.observeFirstEvent(m_plan.route->id, m_context.clock.now() - m_attemptStarted);
        m_reply->startStream(*m_head);
        m_stages.release();
    }
    m_reply->sendEvent(event.text);
}

void RequestRun::onEnd(BackendCallEnd end)
{
    m_call.reset();
    const bool notExecuted = m_head && m_head->notExecuted;
    if (end == BackendCallEnd::NotSent || notExecuted) {
        attemptNotRun(end);
        return;
    }
    m_ranSomewhere = true;
    if (isStream() && m_head && m_head->isSuccess() && m_head->isEventStream) {
        streamEnded(end);
        return;
    }
    answerEnded(end);
}

void RequestRun::attemptNotRun(BackendCallEnd end)
{
    const bool unsent = end == BackendCallEnd::NotSent;
    endAttempt(unsent ? routing::CallOutcome::TransportFailed : routing::CallOutcome::Refused);
    m_attempts.exclude(m_server);
    constexpr int InputsGone = 409;
    if (!unsent && m_head->status == InputsGone && !m_stagesRepeated) {
        m_stagesRepeated = true;
        m_attempts.readmit(m_server);
        m_attempts.takeBack();
        m_stages.release();
        startStages();
        return;
    }
    if (unsent) {
        m_attempts.takeBack();
        if (m_attempts.mayConnectElsewhere()) {
            sendAttempt();
            return;
        }
    } else if (tryAgain(false)) {
        return;
    }
    if (m_streaming) {
        m_reply->abort();
        finish("stream broke; refused elsewhere");
        return;
    }
    refuse({RefusalKind::NotRun, m_context.limits.retryAfter,
            unsent ? "backend servers unreachable" : "refused by backend server"});
}

void RequestRun::streamEnded(BackendCallEnd end)
{
    const bool complete = end == BackendCallEnd::Complete && m_head->isSigned;
    endAttempt(complete ? routing::CallOutcome::Succeeded : routing::CallOutcome::TransportFailed);
    if (complete) {
        if (!m_streaming) {
            m_reply->startStream(*m_head);
        }
        m_reply->endStream();
        finish("done");
        return;
    }
    m_attempts.exclude(m_server);
    if (m_plan.route->resumable && tryAgain(true)) {
        return;
    }
    if (m_streaming) {
        m_reply->abort();
        finish("stream broke");
        return;
    }
    refuse({RefusalKind::ResponseLost, {}, "stream broke before its first event"});
}

void RequestRun::answerEnded(BackendCallEnd end)
{
    const bool complete = end == BackendCallEnd::Complete && m_head;
    const bool bad = !complete || m_head->status >= FirstServerError
        || (m_head->isSuccess() && !m_head->isSigned);
    const routing::CallOutcome failure =
        complete ? routing::CallOutcome::Failed : routing::CallOutcome::TransportFailed;
    endAttempt(bad ? failure : routing::CallOutcome::Succeeded);
    if (bad) {
        m_attempts.exclude(m_server);
        if (m_plan.route->isIdempotent() && tryAgain(true)) {
            return;
        }
    }
    constexpr int TooManyRequests = 429;
    constexpr int Unavailable = 503;
    const bool promisesNotRun =
        complete && (m_head->status == TooManyRequests || m_head->status == Unavailable);
    const bool unproved = complete && m_head->isSuccess() && !m_head->isSigned;
    if (!complete || promisesNotRun || unproved) {
        refuse({RefusalKind::ResponseLost, {}, "answer lost"});
        return;
    }
    m_reply->reply(*m_head, m_body);
    finish(bad ? "backend server failed" : "done");
}

/// The results of the stages are released once a stream has begun, so one that goes on elsewhere
/// needs them again.
void RequestRun::nextAttempt()
{
    if (m_stages.areNeeded()) {
        startStages();
        return;
    }
    sendAttempt();
}

bool RequestRun::tryAgain(bool mayHaveRun)
{
    const auto backoff = m_attempts.next(m_server, mayHaveRun, timeLeft());
    if (!backoff) {
        return false;
    }
    m_backoffTimer = m_context.scheduler.callAfter(*backoff, [this] { nextAttempt(); });
    return true;
}

void RequestRun::end(const char *cause)
{
    const bool reached = mayHaveRun();
    if (m_call) {
        m_call.reset();
        endAttempt(m_head ? routing::CallOutcome::Cancelled
                          : routing::CallOutcome::TransportFailed);
    }
    if (m_streaming) {
        m_reply->abort();
        finish(cause);
        return;
    }
    if (reached) {
        refuse({RefusalKind::TimedOut, {}, cause});
        return;
    }
    refuse({RefusalKind::NotRun, m_context.limits.retryAfter, cause});
}

void RequestRun::abandon()
{
    if (m_ended) {
        return;
    }
    const bool goesOn = m_call && m_plan.route->kind == serving::RouteKind::NonIdempotent;
    if (goesOn) {
        return;
    }
    if (m_call) {
        m_call.reset();
        endAttempt(routing::CallOutcome::Cancelled);
    }
    finish("client hung up");
}

void RequestRun::refuse(const Refusal &refusal)
{
    m_reply->refuse(refusal);
    m_context.metrics.increment("lavendertally_refusals_total", {{"cause", refusal.cause}});
    finish(refusal.cause);
}

void RequestRun::finish(const char *outcome)
{
    m_ended = true;
    m_expiry.reset();
    m_backoffTimer.reset();
    m_stages.cancel();
    m_stages.release();
    const std::string route = m_plan.route != nullptr ? m_plan.route->id.value() : std::string();
    const std::string version =
        m_plan.configuration ? std::to_string(m_plan.configuration->version().value()) : "none";
    const framework::Milliseconds age = m_started - m_context.serving.confirmedAt();
    m_context.logger.info("request ended",
                          {{"request", m_request.id.value()},
                           {"route", route},
                           {"configuration", version},
                           {"configuration_age_ms", std::to_string(age.value())},
                           {"outcome", outcome},
                           {"backend_server", m_server.value()},
                           {"attempts", std::to_string(m_attempts.count())},
                           {"stages_ms", std::to_string(m_stages.timeTaken().value())},
                           {"elapsed_ms", std::to_string(elapsed().value())}});
    m_context.metrics.increment("lavendertally_requests_total",
                                {{"route", route}, {"outcome", outcome}});
    m_owner.onRunEnded(*this);
}

framework::Milliseconds RequestRun::elapsed() const
{
    return m_context.clock.now() - m_started;
}

framework::Milliseconds RequestRun::timeLeft() const
{
    return std::max(m_expires - m_context.clock.now(), framework::Milliseconds(0));
}

} // namespace lavendertally::proxy
