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
    /// Why the request has no result; None if it has one or no reason is known.
    protocol::RefusalReason reason = protocol::RefusalReason::None;
    /// Human-readable explanation of the reason.
    std::string detail;
    /// Time after which the same request may succeed; zero if unknown.
    framework::Milliseconds retryAfter;
    /// True if no non-idempotent stage has run or may have run, so that a new request cannot
    /// repeat a side effect.
    bool safeToRepeat = false;
    /// JSON result of the last stage; empty if there is none or its text was streamed.
    std::string result;
    /// Time from the arrival of the request to this answer.
    framework::Milliseconds elapsed;
    /// Whether the answer was ready by the deadline of the request.
    bool inTime = false;
    /// Costs of the stages that were begun, in order.
    std::vector<StageCost> stages;
};

} // namespace lavendertally::pipeline
