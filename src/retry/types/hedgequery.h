#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

namespace lavendertally::retry {

/// What the decision to send a second attempt beside a running one depends on.
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
