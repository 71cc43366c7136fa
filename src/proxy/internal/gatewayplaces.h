#pragma once

#include "admission/types/placedecision.h"
#include "admission/types/placerequest.h"
#include "framework/types/timepoint.h"
#include "proxy/internal/backendcapacity.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace lavendertally::admission {
class IPlaceAdmission;
struct ReportedLoad;
} // namespace lavendertally::admission

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::proxy {

class IPlaceWaiter;
class TeamLabels;
struct ProxyContext;

/// Places at the services, shared by all requests of the gateway: passes on what they do and
/// observe to the decision, tells those that wait, and reports in metrics and the log.
class GatewayPlaces
{
public:
    /// All arguments must outlive this object.
    GatewayPlaces(const ProxyContext &context, TeamLabels &teams);
    ~GatewayPlaces();
    GatewayPlaces(const GatewayPlaces &) = delete;
    GatewayPlaces &operator=(const GatewayPlaces &) = delete;

    /// \param waiter called later if the decision is to wait, unless cancelWaiting() is called
    admission::PlaceDecision offer(const admission::PlaceRequest &request, IPlaceWaiter &waiter);
    void cancelWaiting(const admission::PlaceRequest &request);

    void callStarted(const framework::ServiceId &service, const framework::BackendServerId &server);
    /// \param isRefused whether the backend server did not run the call for lack of capacity
    void callEnded(const framework::ServiceId &service, const framework::BackendServerId &server,
                   bool isRefused);
    void answered(const admission::PlaceRequest &request, framework::Milliseconds serviceTime);
    void observeLoad(const framework::ServiceId &service, const framework::BackendServerId &server,
                     const admission::ReportedLoad &load);
    void observeNoLoad(const framework::ServiceId &service);

    /// \return time after which the client of a request that the backend servers of its service
    /// have refused should return
    framework::Milliseconds retryAfter(const admission::PlaceRequest &request);

private:
    struct Waiting
    {
        admission::PlaceRequest request;
        IPlaceWaiter *waiter = nullptr;
        framework::TimePoint since;
    };
    /// Bounds the log lines about refusals of one service for one cause.
    struct RefusalLog
    {
        framework::TimePoint writtenAt;
        std::uint32_t unwritten = 0;
    };

    void decide();
    void scheduleDecisions(framework::Milliseconds delay);
    void report(const admission::PlaceRequest &request, const admission::PlaceDecision &decision,
                framework::Milliseconds waited);
    void reportReturn(const admission::PlaceRequest &request, admission::ReturnTiming timing);
    void logRefusal(const admission::PlaceRequest &request,
                    const admission::PlaceDecision &decision);

    const ProxyContext &m_context;
    TeamLabels &m_teams;
    BackendCapacity m_capacity;
    std::unique_ptr<admission::IPlaceAdmission> m_admission;
    std::map<admission::WorkKey, Waiting> m_waiting;
    std::unique_ptr<framework::ITimer> m_timer;
    framework::TimePoint m_timerDue;
    std::map<std::pair<framework::ServiceId, admission::PlaceRefusal>, RefusalLog> m_refusalLogs;
};

} // namespace lavendertally::proxy
