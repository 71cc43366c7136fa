#pragma once

#include "admission/types/placerequest.h"
#include "framework/types/timepoint.h"
#include "proxy/internal/backendattempt.h"
#include "proxy/internal/capacitywait.h"
#include "proxy/internal/iattemptobserver.h"
#include "proxy/internal/promptguard.h"
#include "proxy/internal/requestplace.h"
#include "proxy/internal/requestplan.h"
#include "proxy/internal/requestretries.h"
#include "proxy/internal/requeststages.h"
#include "proxy/iproxyservice.h"
#include "proxy/types/clientrequest.h"
#include "proxy/types/proxycontext.h"
#include "proxy/types/refusal.h"
#include "routing/types/serverquery.h"

#include <memory>

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::proxy {

class IResponseWriter;
class IActiveRequestOwner;

/// The life of one request: resolves its route, runs its stages, decides on its attempts at backend
/// servers, and sees to it that it gets exactly one response unless the client disconnects.
class ActiveRequest final : public IAttemptObserver
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

    void onStreamStarted() override;
    void onAttemptEnded(AttemptResult result) override;

private:
    void startStages();
    framework::Milliseconds spread(framework::Milliseconds wait) const;
    void stagesEnded(const protocol::StageJobOutcome &outcome);
    admission::PlaceRequest placeRequest() const;
    framework::AvailabilityZoneId preferredZone();
    routing::ServerQuery serverQuery() const;

    void nextAttempt();
    /// Sends the next attempt once there is a place for it.
    void sendAttempt();
    void sendAdmitted();
    void noServer();
    /// Refuses the request because no further attempt is sent. The refusal says that the request
    /// did not run only if no earlier attempt may have run.
    void endUnsent(Refusal refusal, const char *streamOutcome);
    void attemptNotSent();
    void attemptRefused();
    void attemptFailed();
    void streamBroken();
    /// Ends the request with the response that has been received.
    void forwardResponse();
    /// Schedules an attempt at another backend server if the retry policy allows one.
    /// \return whether there will be another attempt, or a refusal later
    bool scheduleRetry(bool mayHaveRun);

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
    RequestPlan m_plan;
    RequestPlace m_place;

    RequestStages m_stages;
    bool m_stagesRerun = false;
    PromptGuard m_guard;
    RequestRetries m_retries;
    CapacityWait m_capacity;
    BackendAttempt m_attempt;
    bool m_ended = false;
};

} // namespace lavendertally::proxy
