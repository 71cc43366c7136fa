#pragma once

#include "framework/result.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "membership/types/backendserverentry.h"
#include "routing/types/calloutcome.h"
#include "routing/types/serverload.h"
#include "routing/types/serverquery.h"

namespace lavendertally::routing {

/// Chooses among backend servers that are called without a host process in between, and learns
/// from what came back.
class IBackendServerSelector
{
public:
    virtual ~IBackendServerSelector() = default;

    /// \return the backend server to call, or RoutingError
    virtual framework::Result<membership::BackendServerEntry> select(const ServerQuery &query,
                                                                     framework::TimePoint now) = 0;

    /// A call was sent.
    virtual void callStarted(const framework::BackendServerId &server,
                             framework::TimePoint now) = 0;

    /// The first part of an answer came.
    virtual void responseStarted(const framework::BackendServerId &server,
                                 framework::TimePoint started, framework::TimePoint now) = 0;

    virtual void callEnded(const framework::BackendServerId &server, CallOutcome outcome,
                           framework::TimePoint now) = 0;

    virtual void observeLoad(const framework::BackendServerId &server, const ServerLoad &load,
                             framework::TimePoint now) = 0;
};

} // namespace lavendertally::routing
