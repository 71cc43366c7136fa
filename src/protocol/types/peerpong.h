#pragma once

#include <cstdint>

namespace lavendertally::protocol {

/// Answer to a PeerPing.
struct PeerPong
{
    std::uint64_t sequence = 0;
    /// Whether the peer knows enough to run stage jobs and is not about to stop.
    bool acceptsJobs = false;

    bool operator==(const PeerPong &) const = default;
};

} // namespace lavendertally::protocol
