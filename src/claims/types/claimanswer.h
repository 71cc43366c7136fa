#pragma once

#include "claims/types/claimoutcome.h"

#include <string>

namespace lavendertally::claims {

struct ClaimAnswer
{
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    /// Result of the earlier run, when AlreadyDone.
    std::string result;
};

} // namespace lavendertally::claims
