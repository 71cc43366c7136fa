#pragma once

#include "claims/types/claimoutcome.h"

#include <string>

namespace lavendertally::claims {

/// Answer to a claim.
struct ClaimAnswer
{
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    /// Result of the earlier run if the outcome is AlreadyDone and the result was kept.
    std::string result;
    /// False if the stage ran but its result was too large or not valid UTF-8 and so not kept.
    bool resultKept = true;
};

} // namespace lavendertally::claims
