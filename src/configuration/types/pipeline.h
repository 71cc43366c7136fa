#pragma once

#include "configuration/types/priorityclass.h"
#include "configuration/types/stage.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <vector>

namespace lavendertally::configuration {

/// Sequence of stages under one deadline. Stages stand in an order in which each follows all that
/// it needs.
struct Pipeline
{
    framework::PipelineId id;
    /// Used when the caller names none, and the longest that a caller may name.
    framework::Milliseconds deadline;
    PriorityClass priority = PriorityClass::Standard;
    std::vector<Stage> stages;

    bool operator==(const Pipeline &) const = default;
};

} // namespace lavendertally::configuration
