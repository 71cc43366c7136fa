#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstddef>

namespace lavendertally::control {

/// Limits of the control message transport.
struct ControlLimits
{
    /// Larger queries are counted and not answered.
    framework::Bytes maxQuery{64 * 1024};
    /// Larger answers are not received; a snapshot must fit.
    framework::Bytes maxAnswer{16 * 1024 * 1024};
    /// Maximum number of open connections to peers.
    std::size_t maxPeers = 64;
    /// A connection without a query for this long is closed.
    framework::Milliseconds idleTimeout{30000};
    /// A connection is closed after this many consecutive timeouts once no query is in flight; the
    /// next query opens a new one.
    int maxTimeoutsInRow = 3;
};

} // namespace lavendertally::control
