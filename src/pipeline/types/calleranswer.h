#pragma once

#include "framework/types/milliseconds.h"
#include "pipeline/types/requestoutcome.h"
#include "pipeline/types/stagecost.h"
#include "protocol/types/refusalreason.h"

#include <string>
#include <vector>

namespace lavendertally::pipeline {

/// Final answer to a caller.
struct CallerAnswer
{
    RequestOutcome outcome = RequestOutcome::Unknown;
    protocol::RefusalReason reason = protocol::RefusalReason::None;
    std::string detail;
    /// JSON result of the last stage.
    std::string result;
    framework::Milliseconds elapsed;
    /// Whether it came within its deadline.
    bool inTime = false;
    std::vector<StageCost> stages;
};

} // namespace lavendertally::pipeline
