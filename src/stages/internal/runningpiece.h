#pragma once

#include "framework/types/units.h"
#include "stages/internal/jobnumber.h"

#include <cstddef>
#include <cstdint>

namespace lavendertally::stages {

/// Piece of a call in flight.
struct RunningPiece
{
    JobNumber job;
    /// Position of the stage in the job.
    std::size_t stage = 0;
    std::uint32_t piece = 0;
    framework::Bytes resultSize;
};

} // namespace lavendertally::stages
