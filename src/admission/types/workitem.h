#pragma once

#include "admission/types/workkey.h"
#include "configuration/types/priorityclass.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

#include <cstdint>

namespace lavendertally::admission {

/// One stage call that asks to run on the backend server.
struct WorkItem
{
    WorkKey key;
    framework::TeamId team;
    framework::PipelineId pipeline;
    configuration::PriorityClass priority = configuration::PriorityClass::Standard;
    /// Weight of the team.
    std::uint32_t share = 1;
    /// Latest useful completion, on this process's clock.
    framework::TimePoint deadline;
};

} // namespace lavendertally::admission
