#pragma once

#include "stages/types/pieceoutcome.h"
#include "stages/types/stagecallstatus.h"

#include <vector>

namespace lavendertally::stages {

/// Outcome of a call to a backend server.
struct StageCallOutcome
{
    StageCallStatus status = StageCallStatus::Unknown;
    /// One entry per piece in the order of the call; meaningful only if the status is Answered.
    std::vector<PieceOutcome> pieces;
};

} // namespace lavendertally::stages
