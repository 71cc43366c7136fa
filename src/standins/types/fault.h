#pragma once

#include "framework/types/milliseconds.h"
#include "standins/types/faultmode.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lavendertally::standins {

/// Setting of a fault switch.
struct Fault
{
    FaultMode mode = FaultMode::None;
    /// Delay of a slow call; longest time that a reordered call is held.
    framework::Milliseconds delay{200};
    /// Number of calls that it concerns; absent means all until changed.
    std::optional<std::uint32_t> count;
    /// Paths that it concerns begin with this.
    std::string path;
};

} // namespace lavendertally::standins
