#pragma once

#include "framework/types/milliseconds.h"
#include "retry/types/retryratio.h"

#include <cstdint>

namespace lavendertally::retry {

/// Bounds on the retries of one process to one service.
struct RetryLimits
{
    /// Part of the fresh calls that may be tried again.
    RetryRatio maxRatio{100};
    /// Retries that a service with hardly any fresh calls may still have.
    std::uint32_t reserveRetries = 2;
    /// Time in which one of reserveRetries grows back.
    framework::Milliseconds reserveRefillInterval{5000};
    /// Retries that may be saved up in quiet times.
    std::uint32_t bucketCapacity = 20;
    /// Part of bucketCapacity, in percent, that less urgent classes leave to more urgent ones.
    std::uint32_t standardHeadroomPercent = 25;
    std::uint32_t backgroundHeadroomPercent = 50;
    /// Attempts of one stage, the first one included.
    std::uint32_t maxAttempts = 4;
    framework::Milliseconds minBackoff{2};
    framework::Milliseconds maxBackoff{250};
};

} // namespace lavendertally::retry
