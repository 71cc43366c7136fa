#pragma once

#include <cstdint>

namespace lavendertally::protocol {

/// Asks whether the peer is alive.
struct PeerPing
{
    std::uint64_t sequence = 0;

    bool operator==(const PeerPing &) const = default;
};

} // namespace lavendertally::protocol
