#pragma once

#include "protocol/types/rolloutservicereport.h"

#include <cstdint>
#include <vector>

namespace lavendertally::protocol {

/// From each gateway to the leading ones while orders stand.
struct RolloutReport
{
    /// Number of the gateway's start; drawn at random.
    std::uint64_t start = 0;
    std::vector<RolloutServiceReport> services;

    bool operator==(const RolloutReport &) const = default;
};

} // namespace lavendertally::protocol
