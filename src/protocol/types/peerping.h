#pragma once

#include "framework/types/timepoint.h"

namespace lavendertally::protocol {

/// Liveness probe on a link between two daemons. The answer is a PeerPong.
struct PeerPing
{
    /// Send time on the sender's clock; opaque to the peer, which returns it in the pong.
    framework::TimePoint sent;

    bool operator==(const PeerPing &) const = default;
};

} // namespace lavendertally::protocol
