#pragma once

#include "claims/types/claimid.h"
#include "claims/types/claimkey.h"
#include "framework/types/timepoint.h"

namespace lavendertally::claims {

/// Record: the stage has not run under this claim and will not. If it precedes the claim's own
/// ClaimMade record on the log, that record has no effect.
struct ClaimReleased
{
    ClaimKey key;
    ClaimId id;
    /// When the caller first issued the request, in wall-clock time.
    framework::TimePoint issuedAt;

    bool operator==(const ClaimReleased &) const = default;
};

} // namespace lavendertally::claims
