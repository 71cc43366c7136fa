#pragma once

#include "claims/types/claimanswer.h"
#include "claims/types/claimid.h"
#include "claims/types/claimrequest.h"
#include "framework/itimer.h"

#include <functional>
#include <memory>

namespace lavendertally::claims {

/// Claim that has not been answered yet.
struct PendingClaim
{
    ClaimRequest request;
    std::function<void(ClaimAnswer)> callback;
    /// Ends the claim at its deadline, or earlier if it waits for the holder of the key.
    std::unique_ptr<framework::ITimer> timer;
    /// Whether another claim holds the key and its result is awaited.
    bool waitsForHolder = false;
};

} // namespace lavendertally::claims
