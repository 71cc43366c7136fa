#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"
#include "membership/types/backendserverentry.h"
#include "stages/internal/runningpiece.h"

#include <vector>

namespace lavendertally::stages {

/// Call in flight to a backend server.
struct RunningCall
{
    membership::BackendServerEntry server;
    std::vector<RunningPiece> pieces;
    framework::TimePoint started;
    /// Duration that the configuration of the pool gives for a call of this size.
    framework::Milliseconds expected;
    framework::Milliseconds resultLifetime;
    /// Storage reserved for its results.
    framework::Bytes reservedStorage;
    /// Whether its inputs can be taken to be fetched after StageCoordinatorOptions::inputFetchTime
    /// and may be freed then. Cleared once that has been checked.
    bool mayFreeInputsEarly = false;
};

} // namespace lavendertally::stages
