#pragma once

#include "framework/result.h"
#include "framework/types/endpoint.h"
#include "http/types/httplimits.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace lavendertally::http {

class IHttpExchange;

/// HTTP server.
class IHttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<IHttpExchange>)>;

    virtual ~IHttpServer() = default;

    /// \param handler called for each request; it may keep the exchange and reply later
    virtual void setHandler(Handler handler) = 0;

    /// \param refused called with the status of each request that is refused before it is handled:
    /// it cannot be read, or exceeds a limit
    virtual void onRefused(std::function<void(int)> refused) = 0;

    /// Applies to requests that begin from now on.
    virtual void setLimits(const HttpLimits &limits) = 0;

    /// Starts listening.
    /// \param endpoint port zero lets the kernel choose
    /// \return the endpoint with its real port, or HttpError
    virtual framework::Result<framework::Endpoint> listen(const framework::Endpoint &endpoint) = 0;

    /// Accepts no further connections, apart from those that the kernel has established already;
    /// exchanges under way go on.
    virtual void stopListening() = 0;

    /// Ends each connection after the next response that begins on it, unless a further request has
    /// arrived on it by then. Idle connections stay open, so that a request on its way is still
    /// answered.
    virtual void closeAfterResponses() = 0;

    /// Closes the connections on which no request is under way. One whose request has arrived and
    /// was not read yet stays open, and a new one gets a short time for its first request.
    virtual void closeIdleConnections() = 0;

    /// \return connections on which a request is under way or may still come
    virtual std::size_t connectionsInUse() const = 0;

    /// \return exchanges whose response has not yet been handed to the network as a whole
    virtual std::size_t unfinishedExchanges() const = 0;
};

} // namespace lavendertally::http
