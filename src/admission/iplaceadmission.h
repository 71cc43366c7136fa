#pragma once

#include "admission/types/placedecision.h"
#include "admission/types/placerequest.h"
#include "admission/types/reportedload.h"
#include "framework/types/timepoint.h"

#include <vector>

namespace lavendertally::admission {

/// Decides at a gateway which requests go on to the backend servers of a service, which wait and
/// which are refused. It knows the calls of its own gateway and what the backend servers report;
/// services that report no load admit everything. Used on one thread.
class IPlaceAdmission
{
public:
    virtual ~IPlaceAdmission() = default;

    /// \return decision; with AdmissionVerdict::Wait, takeDecisions() returns the final one unless
    /// cancelWaiting() is called before
    virtual PlaceDecision offer(const PlaceRequest &request, framework::TimePoint now) = 0;
    virtual void cancelWaiting(const PlaceRequest &request) = 0;

    /// A call was sent to a backend server.
    virtual void callStarted(const framework::ServiceId &service,
                             const framework::BackendServerId &server,
                             framework::TimePoint now) = 0;
    /// The call has ended; called once for each callStarted().
    /// \param isRefused whether the backend server did not run it for lack of capacity
    virtual void callEnded(const framework::ServiceId &service,
                           const framework::BackendServerId &server, bool isRefused,
                           framework::TimePoint now) = 0;
    /// A request was answered completely.
    /// \param serviceTime time from its call to the end of its answer
    virtual void answered(const PlaceRequest &request, framework::Milliseconds serviceTime,
                          framework::TimePoint now) = 0;
    /// A backend server has answered and reports its load.
    virtual void observeLoad(const framework::ServiceId &service,
                             const framework::BackendServerId &server, const ReportedLoad &load,
                             framework::TimePoint now) = 0;
    /// A backend server has answered without reporting its load.
    virtual void observeNoLoad(const framework::ServiceId &service, framework::TimePoint now) = 0;

    /// A request has arrived on which another part decides.
    /// \return whether it returns after a refusal
    virtual ReturnTiming noteArrival(const PlaceRequest &request, framework::TimePoint now) = 0;

    /// Tells the client of a request that another part refuses when to return, and expects it.
    /// \param wait time until that part expects capacity for one request
    /// \return time to name in the refusal
    virtual framework::Milliseconds returnTime(const PlaceRequest &request,
                                               framework::Milliseconds wait,
                                               framework::TimePoint now) = 0;

    /// Takes the decisions on waiting requests that have become due. Call it after callEnded(),
    /// observeLoad() and at nextWake().
    virtual std::vector<PlaceDecision> takeDecisions(framework::TimePoint now) = 0;
    /// \return when takeDecisions() may return decisions even if nothing else happens
    virtual framework::TimePoint nextWake(framework::TimePoint now) const = 0;
};

} // namespace lavendertally::admission
