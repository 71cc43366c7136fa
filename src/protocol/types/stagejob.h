#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/jobstage.h"

#include <cstdint>
#include <vector>

namespace lavendertally::protocol {

/// Stages of one request, to be run by the daemon that coordinates their services.
struct StageJob
{
    framework::RequestId request;
    framework::RouteId route;
    /// Stages that have pieces, in the order of their numbers.
    std::vector<JobStage> stages;
    /// What stages without predecessors work on.
    framework::StageInputId input;
    /// Time in which the stages must be done for the request to meet its latency objective; may be
    /// negative.
    framework::Milliseconds objectiveLeft;
    /// Time in which they must be done to be of any use.
    framework::Milliseconds timeLeft;
    framework::PriorityRank priority;
    /// Worth against other requests of the same priority, in hundredths of the usual one.
    std::uint32_t worth = 100;
    /// Zone in which the final results are wanted; empty if any will do.
    framework::AvailabilityZoneId zone;

    bool operator==(const StageJob &) const = default;
};

} // namespace lavendertally::protocol
