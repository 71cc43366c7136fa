#pragma once

#include <cstdint>

namespace lavendertally::admission {

/// Limits of one backend server, from its service's configuration.
struct AdmissionLimits
{
    std::uint32_t concurrency = 1;
    std::uint32_t coldConcurrency = 1;
    std::uint32_t queueLength = 0;
};

} // namespace lavendertally::admission
