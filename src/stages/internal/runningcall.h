#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"
#include "membership/types/backendserverentry.h"
#include "stages/internal/runningpiece.h"

#include <vector>

namespace lavendertally::stages {

/// Call to a backend server under way.
struct RunningCall
{
    membership::BackendServerEntry server;
    std::vector<RunningPiece> pieces;
    framework::TimePoint started;
    framework::Milliseconds expected;
    framework::Milliseconds resultLifetime;
    /// Room for its results.
    framework::Bytes reserved;
    /// Whether its inputs have been fetched once StageLimits::fetchTime has passed, and this has
    /// not been made use of.
    bool fetchesAtOnce = false;
};

} // namespace lavendertally::stages
