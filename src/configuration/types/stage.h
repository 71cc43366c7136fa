#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"

#include <vector>

namespace lavendertally::configuration {

/// One step of a pipeline.
struct Stage
{
    framework::StageId id;
    framework::ServiceId service;
    /// Stages of the same pipeline whose results this stage depends on.
    std::vector<framework::StageId> after;
    /// Whether running the stage again has no further effect. A stage that is not idempotent runs
    /// at most once per request.
    bool idempotent = true;
    /// Upper bound on generated tokens; zero for stages that generate none.
    framework::TokenCount maxTokens;

    bool operator==(const Stage &) const = default;
};

} // namespace lavendertally::configuration
