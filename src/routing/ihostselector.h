#pragma once

#include "framework/result.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "membership/types/hostentry.h"
#include "protocol/types/loadreport.h"
#include "routing/types/routingquery.h"

namespace lavendertally::routing {

/// Chooses the backend server for a stage call, and learns from what came back.
class IHostSelector
{
public:
    virtual ~IHostSelector() = default;

    /// \return the host to call, or RoutingError
    virtual framework::Result<membership::HostEntry> selectHost(const RoutingQuery &query,
                                                                framework::TimePoint now) = 0;

    /// A call was sent to \p host.
    virtual void callStarted(const framework::HostId &host, framework::TimePoint now) = 0;

    /// A call to \p host ended with whatever result.
    virtual void callEnded(const framework::HostId &host, framework::TimePoint now) = 0;

    /// \param load report that came with an answer or a probe
    virtual void observeLoad(const framework::HostId &host, const protocol::LoadReport &load,
                             framework::TimePoint now) = 0;

    /// The connection to \p host failed.
    virtual void observeFailure(const framework::HostId &host, framework::TimePoint now) = 0;
};

} // namespace lavendertally::routing
