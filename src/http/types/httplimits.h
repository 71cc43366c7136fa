#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

namespace lavendertally::http {

/// Bounds on what a server accepts, and for how long it waits.
struct HttpLimits
{
    framework::Bytes maxBody{8 * 1024 * 1024};
    framework::Bytes maxHeaders{16 * 1024};
    /// Time for the head of a request, and for each part of its body that minBodyRate asks for.
    framework::Milliseconds requestTimeout{30000};
    /// Bytes per second that a body has to come with. A client that sends its body in a time like
    /// requestTimeout is far above it.
    framework::Bytes minBodyRate{1024};
    /// How long a connection may stay open without a request.
    framework::Milliseconds idleTimeout{120000};
};

} // namespace lavendertally::http
