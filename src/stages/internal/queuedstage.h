#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

#include <cstddef>

namespace lavendertally::stages {

class StageJobState;

/// A stage of a job that has pieces waiting to be sent.
struct QueuedStage
{
    StageJobState *job = nullptr;
    std::size_t stage = 0;
    /// Latest start at which the job can still meet its objective.
    framework::TimePoint latestStart;
    /// Earliest start. Started earlier, its results would only occupy storage while the other
    /// stages of the job run.
    framework::TimePoint notBefore;
    /// Availability zone to run in if there is time to wait for it; empty if any will do.
    framework::AvailabilityZoneId preferredZone;
    /// Latest start plus a delay per priority rank; the queue is ordered by it.
    framework::TimePoint effectiveLatestStart;
};

} // namespace lavendertally::stages
