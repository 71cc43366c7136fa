#pragma once

#include "configuration/types/priorityclass.h"
#include "configuration/types/stage.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <vector>

namespace lavendertally::configuration {

/// Directed acyclic graph of stages that share one deadline.
struct Pipeline
{
    framework::PipelineId id;
    /// Default for callers that set no deadline, and the upper bound for those that do.
    framework::Milliseconds deadline;
    PriorityClass priority = PriorityClass::Standard;
    /// In topological order: each stage follows the stages that it depends on.
    std::vector<Stage> stages;

    bool operator==(const Pipeline &) const = default;
};

} // namespace lavendertally::configuration
