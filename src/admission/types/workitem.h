#pragma once

#include "admission/types/workkey.h"
#include "configuration/types/priorityclass.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

#include <cstdint>

namespace lavendertally::admission {

/// Stage call that requests a slot on the backend server.
struct WorkItem
{
    WorkKey key;
    framework::TeamId team;
    framework::PipelineId pipeline;
    configuration::PriorityClass priority = configuration::PriorityClass::Standard;
    /// Fair-queueing weight of the team.
    std::uint32_t share = 1;
    /// Time by which the item must complete, on the clock of this process.
    framework::TimePoint deadline;
};

} // namespace lavendertally::admission
