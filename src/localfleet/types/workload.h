#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lavendertally::localfleet {

/// One kind of request that a load sends.
struct Workload
{
    framework::PipelineId pipeline;
    framework::TeamId team;
    /// JSON value.
    std::string input;
};

} // namespace lavendertally::localfleet
