#pragma once

#include "framework/types/milliseconds.h"

#include <cstddef>

namespace lavendertally::control {

/// Pace of the exchange of configuration revisions.
struct SyncLimits
{
    framework::Milliseconds entryAskInterval{500};
    framework::Milliseconds hostAskInterval{1000};
    framework::Milliseconds askTimeout{400};
    /// A peer that did not answer is avoided for this long while others are known. Short, so that
    /// the end of a partition is noticed in time.
    framework::Milliseconds avoidTime{1500};
    /// After a failure the next peer is asked this soon, while any is left that has not failed.
    framework::Milliseconds retryDelay{50};
    /// Entries of one availability zone that follow the log.
    std::size_t logReadersPerZone = 2;
    /// An entry that no peer has answered for this long follows the log itself.
    framework::Milliseconds peerSilence{2000};
    /// Entries that do not follow the log check it this often.
    framework::Milliseconds logCheckInterval{5000};
    /// Peers that are asked at once after the own revision has advanced, so that they learn it.
    std::size_t fanOut = 2;
    /// Entries that a host process asks in turn.
    std::size_t hostRotation = 4;
};

} // namespace lavendertally::control
