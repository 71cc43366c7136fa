#pragma once

#include "framework/types/milliseconds.h"
#include "retry/types/retryratio.h"

#include <cstdint>

namespace lavendertally::retry {

/// Bounds on second attempts that are sent while the first one runs.
struct HedgeLimits
{
    /// Part of the fresh calls that may be hedged.
    RetryRatio maxRatio{20};
    /// Hedges that may be saved up in quiet times.
    std::uint32_t bucketCapacity = 10;
    /// Percentile of the stage's recent latencies after which a hedge is sent.
    int percentile = 95;
    framework::Milliseconds minDelay{20};
};

} // namespace lavendertally::retry
