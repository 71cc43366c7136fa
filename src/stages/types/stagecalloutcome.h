#pragma once

#include "stages/types/pieceoutcome.h"
#include "stages/types/stagecallstatus.h"

#include <vector>

namespace lavendertally::stages {

/// How a call to a backend server ended.
struct StageCallOutcome
{
    StageCallStatus status = StageCallStatus::Unknown;
    /// One for each piece of the call, if it was answered.
    std::vector<PieceOutcome> pieces;
};

} // namespace lavendertally::stages
