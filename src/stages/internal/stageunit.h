#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

#include <cstddef>

namespace lavendertally::stages {

class StageJobState;

/// A stage of a job that has pieces to send.
struct StageUnit
{
    StageJobState *job = nullptr;
    std::size_t stage = 0;
    /// Latest start at which the request can still meet its latency objective.
    framework::TimePoint latestStart;
    /// Until then its results would only take room while the other stages of the job are made.
    framework::TimePoint notBefore;
    /// Zone to prefer; empty if any will do.
    framework::AvailabilityZoneId zone;
    /// Order among units that are in time.
    framework::TimePoint rank;
};

} // namespace lavendertally::stages
