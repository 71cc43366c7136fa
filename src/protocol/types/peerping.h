#pragma once

#include "framework/types/timepoint.h"

namespace lavendertally::protocol {

/// Asks whether the peer is alive.
struct PeerPing
{
    /// On the sender's clock; means nothing to the peer, which returns it.
    framework::TimePoint sent;

    bool operator==(const PeerPing &) const = default;
};

} // namespace lavendertally::protocol
