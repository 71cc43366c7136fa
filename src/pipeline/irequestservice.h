#pragma once

#include "pipeline/types/callerrequest.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace lavendertally::pipeline {

class IRequestObserver;

/// Runs requests through their pipelines. Any front end can use it.
class IRequestService
{
public:
    virtual ~IRequestService() = default;

    /// Handle of a request under way.
    using Ticket = std::uint64_t;

    /// Starts a request.
    /// \param observer outlives the request or is detached by abandon(); never called from within
    /// this function
    virtual Ticket start(CallerRequest request, IRequestObserver &observer) = 0;

    /// The caller hung up. Work that may be repeated is cancelled, other work goes on unobserved.
    virtual void abandon(Ticket ticket) = 0;

    /// Refuses new requests from now on.
    virtual void beginDrain() = 0;

    /// \return hosts whose answer to a call that may be repeated is awaited since before \p since
    virtual std::set<framework::HostId> awaitedHosts(framework::TimePoint since) const = 0;

    /// Ends the calls that awaitedHosts() means, so that they can be tried elsewhere.
    virtual void endCallsTo(const framework::HostId &host) = 0;

    /// \return requests under way
    virtual std::size_t activeRequests() const = 0;
};

} // namespace lavendertally::pipeline
