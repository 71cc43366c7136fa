#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/stagejoboutcome.h"

namespace lavendertally::stages {

/// Command to tell a job's owner how it ended.
struct EndStageJob
{
    framework::DaemonId owner;
    protocol::StageJobOutcome outcome;
    /// Why it ended without results, for the log.
    const char *cause = "";
    /// By how much it was, or was expected to be, behind its objective.
    framework::Milliseconds lateness;
};

} // namespace lavendertally::stages
