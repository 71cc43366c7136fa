#pragma once

#include "claims/types/claimid.h"
#include "claims/types/claimkey.h"
#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace lavendertally::claims {

/// Record: a process claims the right to run a stage. The claim holds its key if no other claim
/// does at this position of the log.
struct ClaimMade
{
    ClaimKey key;
    ClaimId id;
    framework::DaemonId claimant;
    /// When the caller first issued the request, in wall-clock time.
    framework::TimePoint issuedAt;
    /// When the claim was made, on the wall clock of the claimant.
    framework::TimePoint madeAt;

    bool operator==(const ClaimMade &) const = default;
};

} // namespace lavendertally::claims
