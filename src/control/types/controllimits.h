#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstddef>

namespace lavendertally::control {

/// Bounds on the exchange of control messages.
struct ControlLimits
{
    /// Queries beyond this size are counted and not answered.
    framework::Bytes maxQuery{64 * 1024};
    /// Answers beyond this size are not read; a snapshot has to fit.
    framework::Bytes maxAnswer{16 * 1024 * 1024};
    /// Connections to peers that are kept at the same time.
    std::size_t maxPeers = 64;
    /// A connection without a query for this long is closed.
    framework::Milliseconds idleTimeout{30000};
    /// A connection is made anew after this many queries in a row without an answer.
    int maxTimeoutsInRow = 3;
};

} // namespace lavendertally::control
