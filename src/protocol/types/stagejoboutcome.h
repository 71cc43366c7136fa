#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/stagejobstatus.h"
#include "protocol/types/stageresultplace.h"

#include <vector>

namespace lavendertally::protocol {

/// Outcome of a StageJob, sent back by its coordinator.
struct StageJobOutcome
{
    framework::RequestId request;
    StageJobStatus status = StageJobStatus::Failed;
    /// Results of the final stages, those on which no other stage depends.
    std::vector<StageResultPlace> results;
    /// With StageJobStatus::Overloaded: time after which a retry makes sense.
    framework::Milliseconds retryAfter;

    bool operator==(const StageJobOutcome &) const = default;
};

} // namespace lavendertally::protocol
