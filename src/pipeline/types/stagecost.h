#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::pipeline {

/// Cost of one stage of a request over all its attempts.
struct StageCost
{
    framework::StageId stage;
    framework::MicroCost cost;
    /// Cost of attempts whose result was not used; not part of cost.
    framework::MicroCost wasted;
    /// Duration of the successful attempt.
    framework::Milliseconds duration;
    std::uint32_t attempts = 0;
};

} // namespace lavendertally::pipeline
