#pragma once

#include "claims/types/claimoutcome.h"

#include <string>

namespace lavendertally::claims {

struct ClaimAnswer
{
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    /// Result of the earlier run, when AlreadyDone.
    std::string result;
    /// Whether the result was kept; one that is too large or no UTF-8 text is not.
    bool resultKept = true;
};

} // namespace lavendertally::claims
