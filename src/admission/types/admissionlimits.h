#pragma once

#include <cstdint>

namespace lavendertally::admission {

/// Concurrency and queue limits of one backend server, from the configuration of its service.
struct AdmissionLimits
{
    /// Items that a warm backend server runs at once.
    std::uint32_t concurrency = 1;
    /// Items that it runs at once in cold start.
    std::uint32_t coldConcurrency = 1;
    /// Items that may wait at full concurrency; fewer while the concurrency limit is lower.
    std::uint32_t queueLength = 0;
};

} // namespace lavendertally::admission
