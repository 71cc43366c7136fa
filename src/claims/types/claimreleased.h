#pragma once

#include "claims/types/claimid.h"
#include "claims/types/claimkey.h"
#include "framework/types/timepoint.h"

namespace lavendertally::claims {

/// Record: the stage was not run under this claim and will not be. It may come before the claim's
/// own record, which then has no effect.
struct ClaimReleased
{
    ClaimKey key;
    ClaimId id;
    /// When the caller first issued the request, by wall clock.
    framework::TimePoint issuedAt;

    bool operator==(const ClaimReleased &) const = default;
};

} // namespace lavendertally::claims
