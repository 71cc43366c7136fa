#pragma once

#include "framework/types/units.h"
#include "stages/internal/jobnumber.h"

#include <cstddef>
#include <cstdint>

namespace lavendertally::stages {

/// Piece that is part of a call under way.
struct RunningPiece
{
    JobNumber job;
    std::size_t stage = 0;
    std::uint32_t piece = 0;
    framework::Bytes resultSize;
};

} // namespace lavendertally::stages
