#include "proxy/internal/backendattempt.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "proxy/ibackendcall.h"
#include "proxy/ibackendclient.h"
#include "proxy/internal/attemptresult.h"
#include "proxy/internal/iattemptobserver.h"
#include "proxy/internal/promptguard.h"
#include "proxy/internal/requestplan.h"
#include "proxy/iresponsewriter.h"
#include "proxy/types/backendrequest.h"
#include "proxy/types/clientrequest.h"
#include "proxy/types/streamevent.h"
#include "routing/ibackendserverselector.h"
#include "serving/types/route.h"

#include <utility>

namespace lavendertally::proxy {

namespace {

constexpr int FirstServerError = 500;

/// \return whether clients take the status to mean that the request did not run, which a backend
/// server does not state by it
bool impliesNotRun(const ResponseHead &head)
{
    constexpr int TooManyRequests = 429;
    constexpr int Unavailable = 503;
    return head.status == TooManyRequests || head.status == Unavailable;
}

} // namespace

BackendAttempt::BackendAttempt(const ProxyContext &context, const ClientRequest &request,
                               const RequestPlan &plan, PromptGuard &guard, HeldSources &held,
                               IResponseWriter &response, IAttemptObserver &observer)
    : m_context(context), m_request(request), m_plan(plan), m_guard(guard), m_response(response),
      m_observer(observer), m_work(context, request, plan), m_completion(context),
      m_pacer(context.clock, held, response), m_lastEventId(request.lastEventId)
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
    m_started = now;
    m_guard.attemptSent(request.server);
    m_completion.attemptSent(request.server);
    request.resumeAfter = m_lastEventId;
    m_context.selector.callStarted(m_server, now);
    m_work.started(request.server, m_lastEventId.has_value());
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
    m_context.selector.callEnded(m_server, outcome, m_context.clock.now());
    m_work.ended(outcome, m_pacer);
}

void BackendAttempt::onHead(const ResponseHead &head)
{
    const framework::TimePoint now = m_context.clock.now();
    m_context.selector.responseStarted(m_server, m_started, now);
    if (head.load) {
        m_context.selector.observeLoad(m_server, *head.load, now);
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
    if (end == BackendCallEnd::NotSent || isRefused) {
        const bool unsent = end == BackendCallEnd::NotSent;
        recordOutcome(unsent ? routing::CallOutcome::TransportFailed
                             : routing::CallOutcome::Refused);
        m_observer.onAttemptEnded(unsent ? AttemptResult::NotSent : AttemptResult::Refused);
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
    recordOutcome(hasRunOutOfTime ? routing::CallOutcome::Cancelled
                                  : routing::CallOutcome::TransportFailed);
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
