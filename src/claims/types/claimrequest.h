#pragma once

#include "claims/types/claimkey.h"
#include "framework/types/timepoint.h"

namespace lavendertally::claims {

struct ClaimRequest
{
    ClaimKey key;
    /// When the caller first issued the request, by wall clock.
    framework::TimePoint issuedAt;
    /// How long the claim may take, on this process's clock.
    framework::TimePoint deadline;
};

} // namespace lavendertally::claims
