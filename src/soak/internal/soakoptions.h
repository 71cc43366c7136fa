#pragma once

#include "framework/types/milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace lavendertally::soak {

/// Parameters of one run.
struct SoakOptions
{
    std::uint64_t seed = 1;
    /// Time in which faults happen; a quiet time follows.
    framework::Milliseconds duration{10000};
    std::size_t gateways = 3;
    /// Of each service.
    std::size_t servers = 2;
    std::size_t clients = 12;
    /// Only what operators plan: stops, reloads, new configurations, drained servers.
    bool planned = false;
    /// Rollouts of new versions of services, one after the other, beside the faults.
    bool rollouts = false;
    /// Where settings and logs of the processes go.
    std::string folder;
    /// Program of the gateway.
    std::string daemon;
};

} // namespace lavendertally::soak
