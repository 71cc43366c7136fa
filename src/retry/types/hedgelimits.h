#pragma once

#include "framework/types/milliseconds.h"
#include "retry/types/retryratio.h"

#include <cstdint>

namespace lavendertally::retry {

/// Limits on hedged requests.
struct HedgeLimits
{
    /// Hedges per thousand first attempts.
    RetryRatio maxRatio{20};
    /// Highest number of unused hedges that are saved up.
    std::uint32_t bucketCapacity = 10;
    /// Percentile of the stage's recent latencies that a hedge waits for.
    int percentile = 95;
    /// Shortest time before a hedge.
    framework::Milliseconds minDelay{20};
};

} // namespace lavendertally::retry
