#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

namespace lavendertally::serving {

/// Bounds on what clients send and how long they take.
struct RequestLimits
{
    framework::Bytes maxHeaders{16 * 1024};
    framework::Bytes maxBody{4 * 1024 * 1024};
    framework::Milliseconds headerTimeout{3000};
    framework::Milliseconds idleTimeout{15000};
};

} // namespace lavendertally::serving
