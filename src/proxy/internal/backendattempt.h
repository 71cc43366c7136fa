#pragma once

#include "framework/types/timepoint.h"
#include "proxy/ibackendresponseobserver.h"
#include "proxy/internal/attemptwork.h"
#include "proxy/internal/completioncheck.h"
#include "proxy/internal/sourcepacer.h"
#include "proxy/types/proxycontext.h"
#include "proxy/types/responsehead.h"
#include "rollout/types/answerquality.h"
#include "routing/types/calloutcome.h"

#include <memory>
#include <optional>
#include <string>

namespace lavendertally::proxy {

class GatewayPlaces;
class IActiveRequestOwner;
class IAttemptObserver;
class IBackendCall;
class IResponseWriter;
class PromptGuard;
struct BackendRequest;
struct ClientRequest;
struct RequestPlan;

/// The attempts of one request at backend servers, one at a time: sends the call, reads the answer
/// and passes its parts on. Tells its observer how each attempt ended, and leaves to it what
/// follows.
class BackendAttempt final : public IBackendResponseObserver
{
public:
    /// All arguments must outlive this object.
    BackendAttempt(const ProxyContext &context, const ClientRequest &request,
                   const RequestPlan &plan, PromptGuard &guard, IActiveRequestOwner &owner,
                   IResponseWriter &response, IAttemptObserver &observer);
    ~BackendAttempt() override;
    BackendAttempt(const BackendAttempt &) = delete;
    BackendAttempt &operator=(const BackendAttempt &) = delete;

    /// Sends \p request to its backend server; the response continues after the last event that
    /// the client has received.
    void send(BackendRequest request);
    /// Cancels the call in flight, if any.
    /// \param hasTimedOut whether a backend server that has not begun to respond counts as failed
    void cancel(bool hasTimedOut);
    /// Nobody reads the response any more; the call in flight goes on.
    void clientLeft() { m_pacer.clientLeft(); }
    /// Ends all waiting; the observer is not called any more.
    void stop() { m_completion.cancel(); }
    /// Forwards the response that is kept, unless the client could take it for something else than
    /// it is.
    /// \return whether it was forwarded
    bool forwardResponse();

    bool isInFlight() const { return m_call != nullptr; }
    /// \return whether a backend server may have run the request or may still run it
    bool mayHaveRun() const;
    /// \return whether a part of the response has been written to the client
    bool isStreaming() const { return m_streaming; }
    /// \return whether the last response has arrived whole
    bool isComplete() const { return m_isComplete; }
    /// \return whether the last response is incomplete or a failure
    bool hasFailed() const { return m_failed; }
    /// \return whether the last response is missing because the backend server probably has as many
    /// connections as it accepts, or because this gateway's share of them is in use
    bool wasRejected() const { return m_wasRejected; }
    /// \return backend server of the last attempt
    const framework::BackendServerId &server() const { return m_server; }
    /// \return when the last attempt was sent
    framework::TimePoint started() const { return m_started; }
    /// \return head of the last response, if it has arrived
    const std::optional<ResponseHead> &head() const { return m_head; }
    const SourcePacer &pacer() const { return m_pacer; }

    void onHead(const ResponseHead &head) override;
    void onEvent(const StreamEvent &event) override;
    void onBody(std::string_view data) override;
    void onServerClosing() override;
    void onEnd(BackendCallEnd end) override;

private:
    bool isStream() const;
    /// \return whether the response is final by its head, so that its body need not be whole to be
    /// passed on
    bool isFinalByHead() const;
    void passOn(std::string_view part);
    void breakOff();
    void callEnded(BackendCallEnd end);
    void reportMalformed();
    void answerEnded(BackendCallEnd end);
    void streamEnded(BackendCallEnd end);
    void responseEnded();
    void passedOnBodyEnded();
    void dropCall();
    void recordOutcome(routing::CallOutcome outcome);
    void reportAnswer(rollout::AnswerQuality quality);

    const ProxyContext &m_context;
    const ClientRequest &m_request;
    const RequestPlan &m_plan;
    PromptGuard &m_guard;
    IResponseWriter &m_response;
    IAttemptObserver &m_observer;
    GatewayPlaces &m_places;
    /// Kept until it is decided whether the answer is whole.
    std::unique_ptr<IBackendCall> m_call;
    AttemptWork m_work;
    CompletionCheck m_completion;
    SourcePacer m_pacer;
    framework::BackendServerId m_server;
    framework::TimePoint m_started;
    bool m_priorAttemptMayHaveRun = false;
    std::optional<ResponseHead> m_head;
    std::string m_body;
    bool m_isComplete = false;
    bool m_failed = false;
    bool m_wasRejected = false;
    /// Whether the body was too large to be kept and is passed on in parts.
    bool m_passesBodyOn = false;
    bool m_streaming = false;
    /// Whether an event of the last attempt has come.
    bool m_hasEvent = false;
    std::optional<framework::StreamEventId> m_lastEventId;
};

} // namespace lavendertally::proxy
