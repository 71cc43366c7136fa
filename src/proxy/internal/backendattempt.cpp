#include "proxy/internal/backendattempt.h"

#include "admission/types/reportedload.h"
#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "proxy/ibackendcall.h"
#include "proxy/ibackendclient.h"
#include "proxy/internal/attemptresult.h"
#include "proxy/internal/gatewayplaces.h"
#include "proxy/internal/iactiverequestowner.h"
#include "proxy/internal/iattemptobserver.h"
#include "proxy/internal/promptguard.h"
#include "proxy/internal/requestplan.h"
#include "proxy/iresponsewriter.h"
#include "proxy/types/backendrequest.h"
#include "proxy/types/clientrequest.h"
#include "proxy/types/streamevent.h"
#include "rollout/irolloutobserver.h"
#include "routing/ibackendserverselector.h"
#include "serving/types/route.h"

#include <utility>

namespace lavendertally::proxy {

namespace {

constexpr int TooManyRequests = 429;
constexpr int FirstServerError = 500;
constexpr int Unavailable = 503;

/// \return whether clients take the status to mean that the request did not run, which a backend
/// server does not state by it
bool impliesNotRun(const ResponseHead &head)
{
    return head.status == TooManyRequests || head.status == Unavailable;
}

/// \return whether the backend server, or this gateway's share of it, has no further connection
bool lacksConnection(BackendCallEnd end)
{
    return end == BackendCallEnd::NoConnection || end == BackendCallEnd::Rejected
        || end == BackendCallEnd::RejectedAfterSend;
}

/// \return what an attempt without a whole answer says of the backend server's health; one that has
/// as many connections as it accepts has not failed
routing::CallOutcome lossOutcome(BackendCallEnd end)
{
    switch (end) {
    case BackendCallEnd::NoConnection:
        return routing::CallOutcome::Cancelled;
    case BackendCallEnd::Rejected:
    case BackendCallEnd::RejectedAfterSend:
        return routing::CallOutcome::Refused;
    case BackendCallEnd::Complete:
    case BackendCallEnd::NotSent:
    case BackendCallEnd::Broken:
    case BackendCallEnd::Malformed:
        break;
    }
    return routing::CallOutcome::TransportFailed;
}

} // namespace

BackendAttempt::BackendAttempt(const ProxyContext &context, const ClientRequest &request,
                               const RequestPlan &plan, PromptGuard &guard,
                               IActiveRequestOwner &owner, IResponseWriter &response,
                               IAttemptObserver &observer)
    : m_context(context), m_request(request), m_plan(plan), m_guard(guard), m_response(response),
      m_observer(observer), m_places(owner.places()), m_work(context, request, plan),
      m_completion(context), m_pacer(context.clock, owner.heldSources(), response),
      m_lastEventId(request.lastEventId)
{ }

BackendAttempt::~BackendAttempt() = default;

bool BackendAttempt::isStream() const
{
    return m_plan.route->kind == serving::RouteKind::Streaming;
}

void BackendAttempt::send(BackendRequest request)
{
    const framework::TimePoint now = m_context.clock.now();
    m_server = request.server.id;
    m_head.reset();
    m_body.clear();
    m_isComplete = false;
    m_failed = false;
    m_wasRejected = false;
    m_hasEvent = false;
    m_started = now;
    m_guard.attemptSent(request.server);
    m_completion.attemptSent(request.server);
    request.resumeAfter = m_lastEventId;
    m_context.selector.callStarted(m_server, now);
    m_work.started(request.server, m_lastEventId.has_value());
    m_places.callStarted(m_plan.service, m_server);
    m_call = m_context.backends.send(request, *this);
    m_pacer.sourceStarted(*m_call);
}

void BackendAttempt::cancel(bool hasTimedOut)
{
    if (!m_call) {
        return;
    }
    dropCall();
    // A backend server that has not begun to respond by the deadline counts as a transport failure.
    recordOutcome(hasTimedOut && !m_head ? routing::CallOutcome::TransportFailed
                                         : routing::CallOutcome::Cancelled);
}

bool BackendAttempt::mayHaveRun() const
{
    return m_priorAttemptMayHaveRun || (m_call != nullptr && m_call->hasSent());
}

void BackendAttempt::dropCall()
{
    m_pacer.sourceEnded();
    m_call.reset();
}

void BackendAttempt::recordOutcome(routing::CallOutcome outcome)
{
    m_guard.attemptEnded();
    if (outcome == routing::CallOutcome::Failed
        || outcome == routing::CallOutcome::TransportFailed) {
        reportAnswer(rollout::AnswerQuality::Failed);
    } else if (outcome == routing::CallOutcome::Succeeded && !m_hasEvent) {
        reportAnswer(rollout::AnswerQuality::Sound);
    }
    m_context.selector.callEnded(m_server, outcome, m_context.clock.now());
    m_work.ended(outcome, m_pacer);
    // A rejected connection, which has no head, shows that capacity lacks. Other refusals, for
    // instance for inputs that are gone, say nothing of it.
    const bool isFull =
        outcome == routing::CallOutcome::Refused && (!m_head || impliesNotRun(*m_head));
    m_places.callEnded(m_plan.service, m_server, isFull);
}

/// Reports what the answer, or the first event of a stream, says of the backend server's version.
void BackendAttempt::reportAnswer(rollout::AnswerQuality quality)
{
    if (m_context.rollouts != nullptr) {
        const framework::Milliseconds time = m_context.clock.now() - m_started;
        m_context.rollouts->answered(m_server, m_plan.route->id, quality,
                                     time - m_pacer.heldTime());
    }
}

void BackendAttempt::onHead(const ResponseHead &head)
{
    const framework::TimePoint now = m_context.clock.now();
    m_context.selector.responseStarted(m_server, m_started, now);
    if (head.load) {
        m_context.selector.observeLoad(m_server, *head.load, now);
        m_places.observeLoad(m_plan.service, m_server,
                             {head.load->running, head.load->waiting, head.load->slots});
    } else if (head.isSigned) {
        m_places.observeNoLoad(m_plan.service);
    }
    if (head.retryAfter) {
        m_context.selector.observePause(m_server, now + *head.retryAfter);
    }
    if (head.isSigned || head.notExecuted || head.rateLimit) {
        m_context.selector.observeRateLimit(m_server, head.rateLimit, m_started, now);
    }
    m_head = head;
}

void BackendAttempt::onBody(std::string_view data)
{
    if (m_passesBodyOn) {
        passOn(data);
        if (m_pacer.written() > m_context.limits.maxResponseBody) {
            breakOff();
        }
        return;
    }
    m_body.append(data);
    if (std::ssize(m_body) <= m_context.limits.maxKeptBody.value()) {
        return;
    }
    if (m_streaming || !isFinalByHead()) {
        m_body.clear();
        breakOff();
        return;
    }
    m_passesBodyOn = true;
    m_streaming = true;
    m_response.startStream(*m_head);
    passOn(std::exchange(m_body, {}));
}

bool BackendAttempt::isFinalByHead() const
{
    if (m_head->isSuccess()) {
        return m_head->isSigned && !m_head->notExecuted;
    }
    return m_head->status < FirstServerError && !m_head->notExecuted && !impliesNotRun(*m_head);
}

void BackendAttempt::passOn(std::string_view part)
{
    m_response.sendPart(part);
    m_pacer.partWritten(framework::Bytes(std::ssize(part)));
    if (m_pacer.isHolding()) {
        m_completion.answerHeldBack();
    }
}

void BackendAttempt::onEvent(const StreamEvent &event)
{
    if (!m_head->isSuccess() || m_head->notExecuted || !m_head->isSigned) {
        return;
    }
    m_work.eventReceived();
    if (!std::exchange(m_hasEvent, true)) {
        reportAnswer(rollout::AnswerQuality::Sound);
    }
    if (event.id) {
        if (m_lastEventId && *event.id <= *m_lastEventId) {
            // The client already has this event; a resumed stream may repeat it.
            return;
        }
        if (m_lastEventId && *event.id != m_lastEventId->next()) {
            // Events were lost. The client must not see a gap, so the attempt counts as broken.
            breakOff();
            return;
        }
        m_lastEventId = event.id;
    }
    if (!m_streaming) {
        m_streaming = true;
        m_observer.onStreamStarted();
        m_response.startStream(*m_head);
    }
    m_guard.eventReceived();
    passOn(event.text);
}

void BackendAttempt::breakOff()
{
    dropCall();
    onEnd(BackendCallEnd::Broken);
}

void BackendAttempt::onServerClosing()
{
    if (m_head && !m_head->notExecuted) {
        m_completion.serverClosing(*m_head);
    }
}

void BackendAttempt::onEnd(BackendCallEnd end)
{
    if (end == BackendCallEnd::Complete && m_head && !m_head->notExecuted) {
        m_completion.decide(*m_head, [this](bool isWhole) {
            callEnded(isWhole ? BackendCallEnd::Complete : BackendCallEnd::Broken);
        });
        return;
    }
    callEnded(end);
}

void BackendAttempt::callEnded(BackendCallEnd end)
{
    const bool wasHeldBack = m_pacer.isHolding();
    dropCall();
    const bool isRefused = m_head && m_head->notExecuted;
    m_wasRejected = lacksConnection(end);
    if (isUnsent(end) || isRefused) {
        recordOutcome(isRefused ? routing::CallOutcome::Refused : lossOutcome(end));
        m_observer.onAttemptEnded(isRefused ? AttemptResult::Refused : AttemptResult::NotSent);
        return;
    }
    m_priorAttemptMayHaveRun = true;
    if (end == BackendCallEnd::Malformed) {
        reportMalformed();
    }
    if (end == BackendCallEnd::Complete) {
        answerEnded(end);
        return;
    }
    // A call that is held back ends only because its time is up.
    const bool hasRunOutOfTime = wasHeldBack && end == BackendCallEnd::Broken;
    recordOutcome(hasRunOutOfTime ? routing::CallOutcome::Cancelled : lossOutcome(end));
    m_guard.examineLoss([this, end] { answerEnded(end); });
}

void BackendAttempt::reportMalformed()
{
    m_context.logger.warning("backend server sent no answer in the protocol; attempt ended",
                             {{"request", m_request.id.value()},
                              {"backend_server", m_server.value()},
                              {"passed_on_bytes", std::to_string(m_pacer.written().value())}});
    m_context.metrics.increment("lavendertally_malformed_answers_total", {});
}

void BackendAttempt::answerEnded(BackendCallEnd end)
{
    m_isComplete = end == BackendCallEnd::Complete && m_head;
    if (isStream() && m_head && m_head->isSuccess() && m_head->isEventStream) {
        streamEnded(end);
    } else if (m_passesBodyOn) {
        passedOnBodyEnded();
    } else {
        responseEnded();
    }
}

void BackendAttempt::streamEnded(BackendCallEnd end)
{
    const bool isWhole = end == BackendCallEnd::Complete && m_head->isSigned;
    if (end == BackendCallEnd::Complete) {
        recordOutcome(isWhole ? routing::CallOutcome::Succeeded
                              : routing::CallOutcome::TransportFailed);
    }
    if (!isWhole) {
        m_observer.onAttemptEnded(AttemptResult::StreamBroken);
        return;
    }
    if (m_streaming) {
        m_guard.answerCompleted();
    } else {
        m_response.startStream(*m_head);
    }
    m_response.endStream();
    m_observer.onAttemptEnded(AttemptResult::Answered);
}

void BackendAttempt::responseEnded()
{
    m_failed = !m_isComplete || m_head->status >= FirstServerError
        || (m_head->isSuccess() && !m_head->isSigned);
    if (m_isComplete) {
        recordOutcome(m_failed ? routing::CallOutcome::Failed : routing::CallOutcome::Succeeded);
    }
    // A rejection says nothing about what the prompt does to a backend server.
    if (!m_failed && m_head->isSuccess()) {
        m_guard.answerCompleted();
    }
    m_observer.onAttemptEnded(m_failed ? AttemptResult::Failed : AttemptResult::Received);
}

void BackendAttempt::passedOnBodyEnded()
{
    if (!m_isComplete) {
        m_observer.onAttemptEnded(AttemptResult::PassedOnBodyBroken);
        return;
    }
    recordOutcome(routing::CallOutcome::Succeeded);
    if (m_head->isSuccess()) {
        m_guard.answerCompleted();
    }
    m_response.endStream();
    m_observer.onAttemptEnded(AttemptResult::Answered);
}

bool BackendAttempt::forwardResponse()
{
    // A whole response cannot go on a stream that has begun.
    if (m_streaming || !m_isComplete || impliesNotRun(*m_head)
        || (m_head->isSuccess() && !m_head->isSigned)) {
        return false;
    }
    m_response.reply(*m_head, m_body);
    return true;
}

} // namespace lavendertally::proxy
