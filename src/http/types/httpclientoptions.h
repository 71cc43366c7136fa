#pragma once

#include "framework/types/milliseconds.h"

#include <cstddef>

namespace lavendertally::http {

class IConnectionGate;

/// How a client treats its connections.
struct HttpClientOptions
{
    /// Longest time for a connection to be established.
    framework::Milliseconds connectTimeout{10000};
    /// Unacknowledged bytes end a connection after this time (TCP_USER_TIMEOUT); zero leaves it to
    /// the kernel.
    framework::Milliseconds acknowledgeTimeout{0};
    /// How long a connection without a stated keep-alive time is kept for reuse.
    framework::Milliseconds maxIdle{60000};
    std::size_t maxIdlePerEndpoint = 64;
    /// Limits the connections; outlives the client. Null if there is no limit.
    IConnectionGate *gate = nullptr;
    /// Longest time for which a call waits for a connection that the gate allows: a few calls of a
    /// plain service (15 to 30 ms each), after which another server is the better choice.
    framework::Milliseconds maxConnectionWait{250};
    /// Idle connections to all endpoints together.
    std::size_t maxIdleConnections = 100000;
};

} // namespace lavendertally::http
