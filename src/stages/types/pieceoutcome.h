#pragma once

#include "framework/types/ids.h"
#include "stages/types/piecestatus.h"

namespace lavendertally::stages {

/// Outcome of one piece of a call.
struct PieceOutcome
{
    PieceStatus status = PieceStatus::Error;
    /// Set if the status is Done.
    framework::StageResultId result;
};

} // namespace lavendertally::stages
