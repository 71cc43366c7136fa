#pragma once

#include "framework/result.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "membership/types/hostentry.h"
#include "protocol/types/loadreport.h"
#include "routing/types/routingquery.h"

namespace lavendertally::routing {

/// Selects the backend host for a stage call. The loads and failures reported back steer later
/// selections.
class IHostSelector
{
public:
    virtual ~IHostSelector() = default;

    /// \return the host to call, or RoutingError::NoAdmittingBackend
    virtual framework::Result<membership::HostEntry> selectHost(const RoutingQuery &query,
                                                                framework::TimePoint now) = 0;

    /// Reports that a call was sent to \p host.
    virtual void callStarted(const framework::HostId &host, framework::TimePoint now) = 0;

    /// Reports that a call to \p host ended, whatever its outcome.
    virtual void callEnded(const framework::HostId &host, framework::TimePoint now) = 0;

    /// \param load report that came with a response or in reply to a probe
    virtual void observeLoad(const framework::HostId &host, const protocol::LoadReport &load,
                             framework::TimePoint now) = 0;

    /// Reports that the connection to \p host failed.
    virtual void observeFailure(const framework::HostId &host, framework::TimePoint now) = 0;
};

} // namespace lavendertally::routing
