#pragma once

#include "framework/types/ids.h"
#include "protocol/types/stagejoboutcome.h"

namespace lavendertally::stages {

/// Command to tell a job's owner how it ended.
struct EndStageJob
{
    framework::DaemonId owner;
    protocol::StageJobOutcome outcome;
};

} // namespace lavendertally::stages
