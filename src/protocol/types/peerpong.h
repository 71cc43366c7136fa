#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::protocol {

/// Answer to a PeerPing; also sent unasked when the peer stops taking jobs.
struct PeerPong
{
    std::uint64_t sequence = 0;
    /// Whether the peer knows enough to run stage jobs and is not about to stop.
    bool acceptsJobs = false;
    /// How long the peer has been up.
    framework::Milliseconds uptime;

    bool operator==(const PeerPong &) const = default;
};

} // namespace lavendertally::protocol
