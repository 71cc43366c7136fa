#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::admission {

/// Parameters by which a host orders, refuses and limits work. They are the same for all services,
/// while AdmissionLimits come from the configuration of each service.
struct AdmissionPolicy
{
    /// Consecutive failures after which the backend server is assumed to be in cold start.
    std::uint32_t failuresBeforeCold = 2;
    /// Consecutive slow outliers after which the backend server is assumed to be in cold start.
    std::uint32_t slowSamplesBeforeCold = 2;
    /// A slow outlier takes more than this multiple of the smoothed service time.
    std::uint32_t slowRatio = 4;
    /// A completion that takes no longer than this is never a slow outlier.
    framework::Milliseconds slowFloor{50};
    /// Upper bound of the batches that must succeed before the limit is raised. Their number
    /// doubles each time that cold start is detected again before the full limit was reached.
    std::uint32_t maxBatchesPerStep = 32;

    /// Slots reserved for PriorityClass::Interactive while the concurrency limit is at least
    /// interactiveReserveMinLimit. Below that, Interactive items take the next free slot.
    std::uint32_t interactiveReserve = 1;
    std::uint32_t interactiveReserveMinLimit = 10;
    /// The reserve is released when no Interactive item has arrived for this long.
    framework::Milliseconds interactiveReserveTimeout{30000};

    /// A service time estimate is outdated when no completion has updated it for the estimated
    /// time plus this duration.
    framework::Milliseconds estimateLifetime{2000};

    /// While Background items wait, at least one of this many starts is a Background item.
    std::uint32_t backgroundStartInterval = 8;
    /// More urgent arrivals leave Background at least one of this many places in the queue.
    std::uint32_t backgroundQueueDivisor = 4;
};

} // namespace lavendertally::admission
