#pragma once

#include "framework/types/timepoint.h"
#include "protocol/types/stagejob.h"

namespace lavendertally::stages {

/// A job and the time at which it is submitted.
struct StageArrival
{
    framework::TimePoint at;
    protocol::StageJob job;
};

} // namespace lavendertally::stages
