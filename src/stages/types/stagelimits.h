#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::stages {

/// Parameters of the stage coordinator.
struct StageLimits
{
    /// Attempts of one piece, the first one included; more would outlast most deadlines.
    std::uint32_t maxPieceAttempts = 4;
    /// A call that takes longer than this multiple of the expected time is given up.
    std::uint32_t timeoutFactor = 2;
    /// Added to the expected time of a call before it is given up; a few round trips.
    framework::Milliseconds timeoutSlack{300};
    /// How long a backend server that refused a call gets none.
    framework::Milliseconds refusalPause{50};
    /// How long a backend server that failed a call gets none, doubled with each failure in a row.
    framework::Milliseconds minEjection{500};
    framework::Milliseconds maxEjection{4000};
    /// What a request needs after its stages until its first token.
    framework::Milliseconds finishTime{150};
    /// When a refused request may come back; about the time of one call.
    framework::Milliseconds retryAfter{300};
};

} // namespace lavendertally::stages
