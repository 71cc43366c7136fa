#pragma once

#include "framework/types/milliseconds.h"

#include <cstddef>

namespace lavendertally::control {

/// Intervals and limits of the synchronisation of configuration revisions.
struct SyncLimits
{
    framework::Milliseconds entryQueryInterval{500};
    framework::Milliseconds hostQueryInterval{1000};
    framework::Milliseconds queryTimeout{400};
    /// A peer that did not answer is skipped for this long while others are available. Short, so
    /// that the end of a partition is noticed in time.
    framework::Milliseconds failedPeerHoldOff{1500};
    /// Delay before the next query after a failure, while any peer is left that has not failed
    /// lately.
    framework::Milliseconds retryDelay{50};
    /// Number of entries per availability zone that follow the log.
    std::size_t logReadersPerZone = 2;
    /// An entry follows the log itself when no peer has answered it for this long.
    framework::Milliseconds peerSilence{2000};
    /// Interval at which entries that do not follow the log read it.
    framework::Milliseconds logCheckInterval{5000};
    /// Peers that an entry queries at once after its own revision has advanced, so that they learn
    /// of it.
    std::size_t fanOut = 2;
    /// Number of entries that a host process queries in rotation.
    std::size_t hostRotationSize = 4;
};

} // namespace lavendertally::control
