#pragma once

#include "claims/types/claimid.h"
#include "claims/types/claimkey.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace lavendertally::claims {

/// Record: a process asks for the right to run a stage.
struct ClaimMade
{
    ClaimKey key;
    ClaimId id;
    framework::DaemonId claimant;
    /// When the caller first issued the request, by wall clock.
    framework::TimePoint issuedAt;
    /// When the claim was made, by the claimant's wall clock.
    framework::TimePoint madeAt;

    bool operator==(const ClaimMade &) const = default;
};

} // namespace lavendertally::claims
