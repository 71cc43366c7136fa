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
    /// Why there is no answer.
    protocol::RefusalReason reason = protocol::RefusalReason::None;
    /// More about it, for people.
    std::string detail;
    /// Whether no stage that may not be repeated has run or may have run, so that a new request
    /// cannot double an effect.
    bool safeToRepeat = false;
    /// JSON result of the last stage; empty when its text was streamed.
    std::string result;
    framework::Milliseconds elapsed;
    /// Whether it came within its deadline.
    bool inTime = false;
    std::vector<StageCost> stages;
};

} // namespace lavendertally::pipeline
