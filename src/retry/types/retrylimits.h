#pragma once

#include "framework/types/milliseconds.h"
#include "retry/types/retryratio.h"

#include <cstdint>

namespace lavendertally::retry {

/// Limits on the retries of one process to one service.
struct RetryLimits
{
    /// Retries that first attempts add to the budget, per thousand.
    RetryRatio maxRatio{100};
    /// Retries allowed in any case, for services with too few first attempts to fill the budget.
    std::uint32_t reserveRetries = 2;
    /// Time after which one used retry of reserveRetries is available again.
    framework::Milliseconds reserveRefillInterval{5000};
    /// Highest number of unused retries that are saved up.
    std::uint32_t bucketCapacity = 20;
    /// Part of bucketCapacity, in percent, that retries of standard priority leave to interactive
    /// ones.
    std::uint32_t standardHeadroomPercent = 25;
    /// Part of bucketCapacity, in percent, that background retries leave to higher priorities.
    std::uint32_t backgroundHeadroomPercent = 50;
    /// Highest number of attempts of one stage, including the first.
    std::uint32_t maxAttempts = 4;
    framework::Milliseconds minBackoff{2};
    framework::Milliseconds maxBackoff{250};
};

} // namespace lavendertally::retry
