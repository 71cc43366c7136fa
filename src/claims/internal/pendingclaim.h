#pragma once

#include "claims/types/claimanswer.h"
#include "claims/types/claimid.h"
#include "claims/types/claimrequest.h"
#include "framework/itimer.h"

#include <functional>
#include <memory>

namespace lavendertally::claims {

/// Claim whose caller still waits.
struct PendingClaim
{
    ClaimRequest request;
    std::function<void(ClaimAnswer)> callback;
    /// Ends the claim at its deadline.
    std::unique_ptr<framework::ITimer> timer;
    /// Whether another claim came first and its end is waited for.
    bool waitsForHolder = false;
};

} // namespace lavendertally::claims
