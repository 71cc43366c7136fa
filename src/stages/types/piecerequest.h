#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <cstdint>
#include <vector>

namespace lavendertally::stages {

/// One piece of a call: the unit of a stage's work that a backend server runs on its own and
/// answers with one result.
struct PieceRequest
{
    framework::RequestId request;
    /// Index of the stage in its route.
    std::uint32_t stage = 0;
    /// Index of the piece in its stage.
    std::uint32_t piece = 0;
    /// Time left until the deadline of the job, after which the result is useless.
    framework::Milliseconds timeLeft;
    /// Input of a stage without predecessors.
    framework::StageInputId input;
    /// All results of the preceding stages; empty for a stage without predecessors.
    std::vector<framework::StageResultId> inputs;
};

} // namespace lavendertally::stages
