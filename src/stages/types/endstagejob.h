#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/stagejoboutcome.h"

namespace lavendertally::stages {

/// Command: report the outcome of a job to its owner.
struct EndStageJob
{
    framework::DaemonId owner;
    protocol::StageJobOutcome outcome;
    /// Why the job ended without results, for the log and the metrics; empty if it is done.
    const char *cause = "";
    /// Actual or predicted time by which the job misses its latency objective; negative if it is
    /// met.
    framework::Milliseconds lateness;
};

} // namespace lavendertally::stages
