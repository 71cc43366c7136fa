#pragma once

#include "framework/types/ids.h"

#include <cstdint>

namespace lavendertally::serving {

/// Part of a route's requests that one service gets.
struct TrafficShare
{
    framework::ServiceId service;
    std::uint32_t weight = 1;
};

} // namespace lavendertally::serving
