#pragma once

#include "framework/types/milliseconds.h"
#include "protocol/types/permitcount.h"
#include "protocol/types/serverratelimit.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lavendertally::protocol {

/// Bounds of a PermitRequest and a PermitGrant; a message that exceeds them is refused.
constexpr std::size_t MaxRateLimitEntries = 256;
constexpr std::uint32_t MaxPermits = 1000;
constexpr framework::Milliseconds MaxRateLimitAge{86400000};

/// Asks the daemon that issues permits for some, and tells it of rate limits.
struct PermitRequest
{
    /// Returned in the grant.
    std::uint64_t sequence = 0;
    /// Limits of the wanted backend servers, and those that the sender was told since.
    std::vector<ServerRateLimit> limits;
    std::vector<PermitCount> wanted;
    /// Whether the grant is to tell all limits that are known.
    bool wantsAllLimits = false;

    bool operator==(const PermitRequest &) const = default;
};

} // namespace lavendertally::protocol
