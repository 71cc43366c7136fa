#pragma once

#include "proxy/types/clientrequest.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace lavendertally::proxy {

class IResponseWriter;

/// Forwards requests to backend servers. Any front end can use it.
class IProxyService
{
public:
    virtual ~IProxyService() = default;

    /// Handle of a request under way.
    using Ticket = std::uint64_t;

    virtual Ticket start(ClientRequest request, std::unique_ptr<IResponseWriter> reply) = 0;

    /// The client hung up. Work that may be repeated is cancelled, other work goes on unobserved.
    virtual void abandon(Ticket ticket) = 0;

    /// Refuses new requests from now on.
    virtual void beginDrain() = 0;

    /// Gives every request under way its final answer now.
    virtual void endAll() = 0;

    /// \return requests under way
    virtual std::size_t activeRequests() const = 0;
};

} // namespace lavendertally::proxy
