#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

namespace lavendertally::http {

/// Bounds on what a server accepts, and for how long it waits.
struct HttpLimits
{
    framework::Bytes maxBody{8 * 1024 * 1024};
    framework::Bytes maxHeaders{16 * 1024};
    /// Bodies of all requests that are being read or handled, together. A request that exceeds it
    /// is refused with 503 before it is handled.
    framework::Bytes maxHeldBodies{32 * 1024 * 1024};
    /// From the first byte of a request to the end of its body, as long as nothing more arrives.
    framework::Milliseconds requestTimeout{30000};
    /// How long a connection may stay open without a request.
    framework::Milliseconds idleTimeout{120000};
};

} // namespace lavendertally::http
