#pragma once

#include "framework/types/timepoint.h"
#include "proxy/ibackendresponseobserver.h"
#include "proxy/internal/completioncheck.h"
#include "proxy/internal/promptguard.h"
#include "proxy/internal/requestattempts.h"
#include "proxy/internal/requestplan.h"
#include "proxy/internal/requeststages.h"
#include "proxy/internal/sourcepacer.h"
#include "proxy/iproxyservice.h"
#include "proxy/types/clientrequest.h"
#include "proxy/types/proxycontext.h"
#include "proxy/types/refusal.h"
#include "proxy/types/responsehead.h"
#include "routing/types/calloutcome.h"
#include "routing/types/serverquery.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::proxy {

class IBackendCall;
class IResponseWriter;
class IActiveRequestOwner;

/// One request in flight: resolves its route, runs its stages, sends attempts to backend servers,
/// and writes exactly one response unless the client disconnects.
class ActiveRequest final : public IBackendResponseObserver
{
public:
    ActiveRequest(const ProxyContext &context, IActiveRequestOwner &owner,
                  IProxyService::Ticket ticket, ClientRequest request,
                  std::unique_ptr<IResponseWriter> response);
    ~ActiveRequest() override;
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

    IProxyService::Ticket ticket() const { return m_ticket; }
    void start();
    /// The client has disconnected; see IProxyService::abandon().
    void abandon();
    /// Cancels everything in flight and writes the final response now.
    /// \param cause for the log and the metrics
    void end(const char *cause);

    void onHead(const ResponseHead &head) override;
    void onEvent(const StreamEvent &event) override;
    void onBody(std::string_view data) override;
    void onServerClosing() override;
    void onEnd(BackendCallEnd end) override;

private:
    void startStages();
    void stagesEnded(const protocol::StageJobOutcome &outcome);
    framework::AvailabilityZoneId preferredZone();
    routing::ServerQuery serverQuery() const;

    void nextAttempt();
    void sendAttempt();
    void noServer();
    void endUnsent(Refusal refusal);
    void callEnded(BackendCallEnd end);
    void attemptEnded(BackendCallEnd end);
    void streamEnded(BackendCallEnd end);
    void responseEnded(BackendCallEnd end);
    /// \return whether the response is final by its head, so that its body need not be whole to be
    /// passed on
    bool isFinalByHead() const;
    void passOn(std::string_view part);
    void passedOnBodyEnded(bool complete);
    void attemptNotRun(BackendCallEnd end);
    /// Schedules an attempt at another backend server if the retry policy allows one.
    /// \return whether there will be another attempt
    bool scheduleRetry(bool mayHaveRun);
    /// The same for a prompt that is not suspected of having caused the failure.
    bool scheduleBackoff(bool mayHaveRun);
    void endAttempt(routing::CallOutcome outcome);
    void dropCall();
    bool isStream() const;
    /// \return whether a backend server may have run the request or may still run it
    bool mayHaveRun() const { return m_priorAttemptMayHaveRun || m_call != nullptr; }

    /// Ends a request that cannot be answered: breaks its stream off if it has begun, refuses the
    /// request otherwise.
    /// \param streamOutcome outcome for the log and the metrics if the stream has begun
    void fail(const Refusal &refusal, const char *streamOutcome);
    /// Ends a request whose whole answer has been written.
    void finishAnswered();
    void finish(const char *outcome);
    framework::Milliseconds timeLeft() const;
    framework::Milliseconds elapsed() const;

    const ProxyContext &m_context;
    IActiveRequestOwner &m_owner;
    IProxyService::Ticket m_ticket;
    ClientRequest m_request;
    std::unique_ptr<IResponseWriter> m_response;
    framework::TimePoint m_started;
    framework::TimePoint m_deadline;
    /// Age of the last confirmation of the configuration when the request arrived.
    framework::Milliseconds m_configurationAge;
    std::unique_ptr<framework::ITimer> m_deadlineTimer;
    std::unique_ptr<framework::ITimer> m_backoffTimer;
    RequestPlan m_plan;

    RequestStages m_stages;
    bool m_stagesRerun = false;

    /// Kept until it is decided whether the answer is whole.
    std::unique_ptr<IBackendCall> m_call;
    framework::BackendServerId m_server;
    framework::TimePoint m_attemptStarted;
    RequestAttempts m_attempts;
    /// How often the next attempt has waited for a permit.
    std::uint32_t m_permitWaits = 0;
    PromptGuard m_guard;
    CompletionCheck m_completion;
    SourcePacer m_pacer;
    bool m_priorAttemptMayHaveRun = false;
    std::optional<ResponseHead> m_head;
    std::string m_body;
    /// Whether the body was too large to be kept and is passed on in parts.
    bool m_passesBodyOn = false;
    bool m_streaming = false;
    std::optional<framework::StreamEventId> m_lastEventId;
    bool m_ended = false;
};

} // namespace lavendertally::proxy
