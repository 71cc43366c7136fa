#pragma once

#include "framework/types/timepoint.h"
#include "proxy/types/clientrequest.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace lavendertally::proxy {

class IResponseWriter;

/// Forwards client requests to backend servers: checks them against the active configuration, runs
/// their stages, retries failed attempts, and writes one response per request. Independent of the
/// clients' protocol. All functions are called on the event loop.
class IProxyService
{
public:
    virtual ~IProxyService() = default;

    /// Identifies a request in flight; never reused.
    using Ticket = std::uint64_t;

    /// Starts forwarding a request. The response may be written before this function returns.
    /// \return id for abandon()
    virtual Ticket start(ClientRequest request, std::unique_ptr<IResponseWriter> response) = 0;

    /// The client has disconnected. The request is cancelled, except for a call in flight on a
    /// non-idempotent route: that call is left to finish. Does nothing for a request that has
    /// ended.
    virtual void abandon(Ticket ticket) = 0;

    /// The process ends at \p end. New requests that may not be answered by then are refused, those
    /// in flight continue.
    virtual void endBy(framework::TimePoint end) = 0;

    /// Refuses new requests from now on; requests in flight continue.
    virtual void beginDrain() = 0;

    /// Ends every request in flight at once: an open stream is aborted, any other request refused.
    virtual void endAll() = 0;

    /// \return number of requests in flight
    virtual std::size_t activeRequests() const = 0;
};

} // namespace lavendertally::proxy
