#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/jobstage.h"

#include <cstdint>
#include <vector>

namespace lavendertally::protocol {

/// Stages of one request, sent to the daemon that coordinates their services.
struct StageJob
{
    framework::RequestId request;
    framework::RouteId route;
    /// Stages that have pieces, in order of index.
    std::vector<JobStage> stages;
    /// Input of the stages without predecessors.
    framework::StageInputId input;
    /// Time within which the stages must be done for the request to meet its latency objective; may
    /// be negative.
    framework::Milliseconds objectiveLeft;
    /// Time within which the stages must be done for the results to be of any use.
    framework::Milliseconds timeLeft;
    framework::PriorityRank priority;
    /// Relative value among requests of the same priority, in percent of the usual one.
    std::uint32_t worth = 100;
    /// Availability zone in which the final results are wanted; empty if any will do.
    framework::AvailabilityZoneId zone;

    bool operator==(const StageJob &) const = default;
};

} // namespace lavendertally::protocol
