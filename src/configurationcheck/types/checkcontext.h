#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::configurationcheck {

/// What a configuration is judged against besides itself.
struct CheckContext
{
    /// Gateways that share the limits of a service.
    std::uint32_t gateways = 1;
    /// Memory that one gateway has for what clients send, all together.
    framework::Bytes heldBodies;
    /// Attempts that the retry policy permits for one request.
    std::uint32_t maxAttempts = 0;
    /// Shortest time between two attempts of one request.
    framework::Milliseconds minBackoff;
};

} // namespace lavendertally::configurationcheck
