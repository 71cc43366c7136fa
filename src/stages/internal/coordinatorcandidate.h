#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace lavendertally::stages {

/// A daemon that may coordinate stages.
struct CoordinatorCandidate
{
    framework::DaemonId daemon;
    /// Whether it can be reached and takes jobs.
    bool isUsable = false;
    /// Whether it is too early to tell.
    bool isNew = false;
    /// When it started, on this daemon's clock.
    framework::TimePoint start;
};

} // namespace lavendertally::stages
