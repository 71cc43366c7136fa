#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

namespace lavendertally::serving {

/// Limits on the size of client requests and on the time that clients take to send them.
struct RequestLimits
{
    framework::Bytes maxHeaders{16 * 1024};
    framework::Bytes maxBody{4 * 1024 * 1024};
    /// Timeout for receiving a request after its first byte.
    framework::Milliseconds headerTimeout{3000};
    /// Time after which a connection without a request is closed.
    framework::Milliseconds idleTimeout{15000};
};

} // namespace lavendertally::serving
