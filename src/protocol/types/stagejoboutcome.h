#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/stagejobstatus.h"
#include "protocol/types/stageresultplace.h"

#include <vector>

namespace lavendertally::protocol {

/// How a StageJob ended.
struct StageJobOutcome
{
    framework::RequestId request;
    StageJobStatus status = StageJobStatus::Failed;
    /// Results of the stages that no other stage follows.
    std::vector<StageResultPlace> results;
    /// When to come back after Overloaded.
    framework::Milliseconds retryAfter;

    bool operator==(const StageJobOutcome &) const = default;
};

} // namespace lavendertally::protocol
