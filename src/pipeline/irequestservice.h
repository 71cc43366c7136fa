#pragma once

#include "pipeline/types/callerrequest.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace lavendertally::pipeline {

class IRequestObserver;

/// Runs requests through their pipelines, independently of the front end.
class IRequestService
{
public:
    virtual ~IRequestService() = default;

    /// Handle of an active request.
    using Ticket = std::uint64_t;

    /// Starts a request.
    /// \param observer outlives the request or is detached by abandon(); never called from within
    /// this function
    /// \return handle for abandon()
    virtual Ticket start(CallerRequest request, IRequestObserver &observer) = 0;

    /// Detaches the observer after the caller disconnected. The call of an idempotent stage is
    /// cancelled; the call of a non-idempotent stage finishes. An ended request is ignored.
    virtual void abandon(Ticket ticket) = 0;

    /// Starts draining: new requests are refused, active ones finish.
    virtual void beginDrain() = 0;

    /// \return hosts that have not yet answered a call of an idempotent stage sent before \p since
    virtual std::set<framework::HostId> awaitedHosts(framework::TimePoint since) const = 0;

    /// Fails all calls of idempotent stages to \p host, so that they can be retried on other hosts.
    virtual void endCallsTo(const framework::HostId &host) = 0;

    /// \return number of requests that have not ended
    virtual std::size_t activeRequests() const = 0;
};

} // namespace lavendertally::pipeline
