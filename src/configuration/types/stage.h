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
    /// Stages of the same pipeline whose results this one needs.
    std::vector<framework::StageId> after;
    /// Whether running it again has no further effect. A stage that is not idempotent runs at most
    /// once for each request.
    bool idempotent = true;
    /// Upper bound of the generated tokens; zero for stages that generate none.
    framework::TokenCount maxTokens;

    bool operator==(const Stage &) const = default;
};

} // namespace lavendertally::configuration
