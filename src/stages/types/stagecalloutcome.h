#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"
#include "stages/types/pieceoutcome.h"
#include "stages/types/stagecallstatus.h"

#include <optional>
#include <vector>

namespace lavendertally::stages {

/// Outcome of a call to a backend server.
struct StageCallOutcome
{
    StageCallStatus status = StageCallStatus::Unknown;
    /// One entry per piece in the order of the call; meaningful only if the status is Answered.
    std::vector<PieceOutcome> pieces;
    /// Calls per second that the backend server takes from all daemons together, if it says so;
    /// meaningful unless the status is Unknown.
    std::optional<framework::RequestRate> rateLimit = std::nullopt;
    /// Time for which the backend server, which has turned the call away, wants no further one.
    std::optional<framework::Milliseconds> retryAfter = std::nullopt;
};

} // namespace lavendertally::stages
