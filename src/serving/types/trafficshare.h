#pragma once

#include "framework/types/ids.h"

#include <cstdint>

namespace lavendertally::serving {

/// Share of a route's requests that one service receives.
struct TrafficShare
{
    framework::ServiceId service;
    /// Relative to the sum of all weights of the route.
    std::uint32_t weight = 1;
};

} // namespace lavendertally::serving
