#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::pipeline {

/// What one stage of an answered request cost.
struct StageCost
{
    framework::StageId stage;
    framework::MicroCost cost;
    /// Part of it that went to attempts whose result was not used.
    framework::MicroCost wasted;
    framework::Milliseconds duration;
    std::uint32_t attempts = 0;
};

} // namespace lavendertally::pipeline
