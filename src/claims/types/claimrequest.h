#pragma once

#include "claims/types/claimkey.h"
#include "framework/types/timepoint.h"

namespace lavendertally::claims {

/// Request to claim a stage.
struct ClaimRequest
{
    ClaimKey key;
    /// When the caller first issued the request, in wall-clock time.
    framework::TimePoint issuedAt;
    /// Time by which the claim must be answered, on the clock of this process.
    framework::TimePoint deadline;
};

} // namespace lavendertally::claims
