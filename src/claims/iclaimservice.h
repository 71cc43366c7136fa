#pragma once

#include "claims/types/claimanswer.h"
#include "claims/types/claimkey.h"
#include "claims/types/claimrequest.h"

#include <cstddef>
#include <functional>
#include <string>

namespace lavendertally::claims {

/// Grants the right to run a non-idempotent stage at most once among all processes. In the order
/// of the log, the first valid claim of a free key holds it.
class IClaimService
{
public:
    virtual ~IClaimService() = default;

    /// Claims a stage for this process.
    /// \param request stage, time of issue and deadline
    /// \param callback called once with the outcome: within this call if the claim cannot be
    /// encoded as UTF-8 text, otherwise after it has returned
    virtual void claim(const ClaimRequest &request, std::function<void(ClaimAnswer)> callback) = 0;

    /// Records that a stage claimed by this process has run, so that later claims get its result.
    /// Ignored if this process holds no claim of the key.
    virtual void recordDone(const ClaimKey &key, const std::string &result) = 0;

    /// Releases a claim of this process because the stage has not run and will not. Ignored if this
    /// process holds no claim of the key.
    virtual void recordNotRun(const ClaimKey &key) = 0;

    /// \return number of results and releases that are not known to be on the log. If the process
    /// ends before they are, their keys stay held until the claim window ends.
    virtual std::size_t unrecordedOutcomes() const { return 0; }
};

} // namespace lavendertally::claims
