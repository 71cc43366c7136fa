#pragma once

#include "framework/types/timepoint.h"
#include "proxy/ibackendresponseobserver.h"
#include "proxy/internal/requestattempts.h"
#include "proxy/internal/requestplan.h"
#include "proxy/internal/requeststages.h"
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
class IRequestRunOwner;

/// One request on its way: checks, stages, attempts at backend servers, one final answer.
class RequestRun final : public IBackendResponseObserver
{
public:
    RequestRun(const ProxyContext &context, IRequestRunOwner &owner, IProxyService::Ticket ticket,
               ClientRequest request, std::unique_ptr<IResponseWriter> reply);
    ~RequestRun() override;
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    IProxyService::Ticket ticket() const { return m_ticket; }
    void start();
    void abandon();
    /// Gives the final answer now, whatever is under way.
    /// \param cause for the log
    void end(const char *cause);

    void onHead(const ResponseHead &head) override;
    void onEvent(const StreamEvent &event) override;
    void onBody(std::string_view data) override;
    void onEnd(BackendCallEnd end) override;

private:
    void startStages();
    void stagesEnded(const protocol::StageJobOutcome &outcome);
    framework::AvailabilityZoneId wantedZone();
    routing::ServerQuery serverQuery() const;

    void nextAttempt();
    void sendAttempt();
    void streamEnded(BackendCallEnd end);
    void answerEnded(BackendCallEnd end);
    void attemptNotRun(BackendCallEnd end);
    /// Tries another backend server if that is allowed. \return whether it does
    bool tryAgain(bool mayHaveRun);
    void endAttempt(routing::CallOutcome outcome);
    bool isStream() const;
    /// \return whether a backend server may have run the request or may be running it
    bool mayHaveRun() const { return m_ranSomewhere || m_call != nullptr; }

    void refuse(const Refusal &refusal);
    void finish(const char *outcome);
    framework::Milliseconds timeLeft() const;
    framework::Milliseconds elapsed() const;

    const ProxyContext &m_context;
    IRequestRunOwner &m_owner;
    IProxyService::Ticket m_ticket;
    ClientRequest m_request;
    std::unique_ptr<IResponseWriter> m_reply;
    framework::TimePoint m_started;
    framework::TimePoint m_expires;
    std::unique_ptr<framework::ITimer> m_expiry;
    std::unique_ptr<framework::ITimer> m_backoffTimer;
    RequestPlan m_plan;

    RequestStages m_stages;
    bool m_stagesRepeated = false;

    std::unique_ptr<IBackendCall> m_call;
    framework::BackendServerId m_server;
    framework::TimePoint m_attemptStarted;
    RequestAttempts m_attempts;
    bool m_ranSomewhere = false;
    std::optional<ResponseHead> m_head;
    std::string m_body;
    bool m_streaming = false;
    std::optional<framework::StreamEventId> m_lastEvent;
    bool m_ended = false;
};

} // namespace lavendertally::proxy
