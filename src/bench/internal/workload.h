#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <cstdint>
#include <vector>

namespace lavendertally::bench {

/// One kind of request of a site.
struct Workload
{
    framework::PipelineId pipeline;
    /// Part of the requests, relative to the other workloads.
    std::uint32_t weight = 1;
    /// Mean service time of each stage.
    std::vector<framework::Milliseconds> stageTimes;
    /// Whether its last stage generates from a prompt prefix that requests share.
    bool sharesPrefixes = false;
};

} // namespace lavendertally::bench
