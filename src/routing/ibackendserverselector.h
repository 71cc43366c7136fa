#pragma once

#include "framework/result.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"
#include "membership/types/backendserverentry.h"
#include "routing/types/calloutcome.h"
#include "routing/types/serverload.h"
#include "routing/types/serverquery.h"

#include <optional>

namespace lavendertally::routing {

class ICallWork;

/// Selects the backend server for a call that is sent to it directly, without a host process in
/// between. The outcomes and loads reported back steer later selections.
class IBackendServerSelector
{
public:
    virtual ~IBackendServerSelector() = default;

    /// \return the backend server to call, or RoutingError::NoAdmittingBackend. It is called at
    /// once, or not at all; see callStarted()
    virtual framework::Result<membership::BackendServerEntry> select(const ServerQuery &query,
                                                                     framework::TimePoint now) = 0;

    /// \return mean time between two requests that the backend servers of \p service that name
    /// rate limits take together; nothing if none of them names one
    virtual std::optional<framework::Milliseconds>
    rateLimitedInterval(const framework::ServiceId &service) const = 0;

    /// \return whether \p server is registered and not draining; one that is ready does not end on
    /// purpose
    virtual bool isReady(const framework::BackendServerId &server) const = 0;

    /// \return time until the first backend server of \p service wants requests again, if all of
    /// them have said for how long they want none; zero otherwise
    virtual framework::Milliseconds pauseOf(const framework::ServiceId &service,
                                            framework::TimePoint now) const = 0;

    /// Reports that a call was sent to \p server.
    virtual void callStarted(const framework::BackendServerId &server,
                             framework::TimePoint now) = 0;

    /// Reports the first part of a response.
    /// \param started the time that was passed to callStarted() for this call
    virtual void responseStarted(const framework::BackendServerId &server,
                                 framework::TimePoint started, framework::TimePoint now) = 0;

    /// Reports the end of a call, once for each callStarted().
    virtual void callEnded(const framework::BackendServerId &server, CallOutcome outcome,
                           framework::TimePoint now) = 0;

    /// \param load load that \p server reported in the header of a response
    virtual void observeLoad(const framework::BackendServerId &server, const ServerLoad &load,
                             framework::TimePoint now) = 0;

    /// Reports that \p server wants no requests before \p until.
    virtual void observePause(const framework::BackendServerId &server,
                              framework::TimePoint until) = 0;

    /// \param rateLimit requests per second that \p server names in an answer, if it does
    /// \param started the time that was passed to callStarted() for this call
    virtual void observeRateLimit(const framework::BackendServerId &server,
                                  std::optional<framework::RequestRate> rateLimit,
                                  framework::TimePoint started, framework::TimePoint now) = 0;

    /// \return where the work of calls is reported; valid as long as the selector
    virtual ICallWork &callWork() = 0;
};

} // namespace lavendertally::routing
