#pragma once

#include "protocol/types/connectionlease.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lavendertally::protocol {

/// Bounds of ConnectionLeases; a message that exceeds them is refused.
constexpr std::size_t MaxConnectionLeases = 256;
constexpr std::uint32_t MaxLeasedConnections = 10000;

/// Asks a gateway that lends connections for some, or grants them. What is asked for replaces what
/// the borrower had from this lender; each entry of a grant holds for connections::LeaseTime from
/// when the request was sent.
struct ConnectionLeases
{
    /// Number of the request; rises with each one of a gateway, also over its restarts.
    std::uint64_t sequence = 0;
    bool isGrant = false;
    std::vector<ConnectionLease> leases;

    bool operator==(const ConnectionLeases &) const = default;
};

} // namespace lavendertally::protocol
