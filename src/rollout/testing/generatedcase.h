#pragma once

#include "framework/types/milliseconds.h"
#include "rollout/testing/generatedversion.h"

#include <cstddef>
#include <cstdint>

namespace lavendertally::rollout {

/// Load of a service, and a new version for it.
struct GeneratedCase
{
    std::uint64_t seed = 0;
    std::size_t gateways = 3;
    std::size_t servers = 4;
    std::size_t routes = 1;
    double requestsPerSecond = 100.0;
    framework::Milliseconds duration{12000};
    double exposureShare = 0.1;
    std::uint32_t exposureSlack = 50;
    /// Median time of answers on the first route; each further route takes 1.5 times as long.
    double medianMs = 20.0;
    /// Standard deviation of the logarithm of the times.
    double spread = 0.5;
    /// Failures of both versions.
    double ordinaryFailures = 0.0;
    GeneratedVersion version;
};

} // namespace lavendertally::rollout
