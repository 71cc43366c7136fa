#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

namespace lavendertally::retry {

/// Input of the decision to hedge a stage.
struct HedgeQuery
{
    framework::ServiceId service;
    framework::PipelineId pipeline;
    framework::StageId stage;
    bool idempotent = false;
    /// Time left for the request.
    framework::Milliseconds budget;
};

} // namespace lavendertally::retry
