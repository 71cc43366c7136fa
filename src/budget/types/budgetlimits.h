#pragma once

#include "framework/types/units.h"

#include <cstdint>
#include <limits>

namespace lavendertally::budget {

/// What the clients of one listener may use together.
struct BudgetLimits
{
    framework::Bytes memory{std::numeric_limits<std::int64_t>::max()};
    std::uint32_t connections = std::numeric_limits<std::uint32_t>::max();
    /// Requests that are handled at once. Each may need a connection to a backend server.
    std::uint32_t exchanges = std::numeric_limits<std::uint32_t>::max();
};

} // namespace lavendertally::budget
