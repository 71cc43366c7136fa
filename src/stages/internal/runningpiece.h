#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"
#include "stages/internal/jobnumber.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lavendertally::stages {

/// Piece of a call in flight.
struct RunningPiece
{
    JobNumber job;
    /// Position of the stage in the job.
    std::size_t stage = 0;
    /// Index of the piece in its stage.
    std::uint32_t piece = 0;
    /// Storage that its result is expected to take.
    framework::Bytes resultSize;
    /// Results that it was given.
    std::vector<framework::StageResultId> inputs;
};

} // namespace lavendertally::stages
