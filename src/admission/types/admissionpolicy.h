#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::admission {

/// How one host process orders, refuses and limits work. The numbers of AdmissionLimits come from
/// the configuration; these are the same for all services.
struct AdmissionPolicy
{
    /// Failed completions in a row after which the backend server is taken for cold.
    std::uint32_t failuresBeforeCold = 2;
    /// Completions in a row far above the usual service time after which it is taken for cold.
    std::uint32_t slowSamplesBeforeCold = 2;
    /// A completion is far above when it takes more than this multiple of the smoothed time.
    std::uint32_t slowRatio = 4;
    /// Completions that take less are never far above.
    framework::Milliseconds slowFloor{50};
    /// Each relapse into cold start before the full limit was reached doubles the batches that the
    /// next step takes, up to this many.
    std::uint32_t maxBatchesPerStep = 32;

    /// Places kept free for PriorityClass::Interactive once the limit is interactiveReserveFrom.
    /// Under a smaller limit, Interactive gets the next free place instead.
    std::uint32_t interactiveReserve = 1;
    std::uint32_t interactiveReserveFrom = 10;
    /// The reserve is given up when no Interactive item came for so long.
    framework::Milliseconds interactiveMemory{30000};

    /// An estimate of service time counts as unknown when no completion has confirmed it for the
    /// estimated time and this long.
    framework::Milliseconds estimateLifetime{2000};

    /// While Background waits, at least one of so many starts is its.
    std::uint32_t backgroundEvery = 8;
    /// Background holds at least one of so many waiting places against more urgent arrivals.
    std::uint32_t backgroundQueueDivisor = 4;
};

} // namespace lavendertally::admission
