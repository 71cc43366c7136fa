#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <cstdint>
#include <vector>

namespace lavendertally::stages {

/// One piece that a backend server is asked to make.
struct PieceRequest
{
    framework::RequestId request;
    /// Number of the stage in its route.
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    /// Time after which the result is of no use.
    framework::Milliseconds timeLeft;
    /// What a stage without predecessors works on.
    framework::StageInputId input;
    /// All results of the stages before; empty for a stage without predecessors.
    std::vector<framework::StageResultId> inputs;
};

} // namespace lavendertally::stages
