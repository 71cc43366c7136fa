#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace lavendertally::stages {

/// A daemon that may be chosen as the coordinator of stages.
struct CoordinatorCandidate
{
    framework::DaemonId daemon;
    /// Whether it is reachable and accepts jobs.
    bool isUsable = false;
    /// Whether the link to it is too new to tell if it is usable.
    bool isInStartupGrace = false;
    /// Time at which it started, on the clock of this daemon.
    framework::TimePoint start;
};

} // namespace lavendertally::stages
