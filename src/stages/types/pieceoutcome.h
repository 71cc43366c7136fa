#pragma once

#include "framework/types/ids.h"
#include "stages/types/piecestatus.h"

namespace lavendertally::stages {

/// What became of one piece of a call.
struct PieceOutcome
{
    PieceStatus status = PieceStatus::Error;
    framework::StageResultId result;
};

} // namespace lavendertally::stages
