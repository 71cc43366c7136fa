#pragma once

#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::standins {

/// Size and limit of the weight store.
struct WeightOptions
{
    framework::Bytes size{64 * 1024};
    /// Downloads accepted within any second.
    std::uint32_t downloadsPerSecond = 4;
};

} // namespace lavendertally::standins
