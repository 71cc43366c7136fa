#pragma once

#include "claims/types/claimanswer.h"
#include "claims/types/claimkey.h"
#include "claims/types/claimrequest.h"

#include <cstddef>
#include <functional>
#include <string>

namespace lavendertally::claims {

/// Grants the right to run a stage that is not idempotent. The log's order decides.
class IClaimService
{
public:
    virtual ~IClaimService() = default;

    /// \param callback called once, later
    virtual void claim(const ClaimRequest &request, std::function<void(ClaimAnswer)> callback) = 0;

    /// Records the result of a stage that this process had claimed.
    virtual void recordDone(const ClaimKey &key, const std::string &result) = 0;

    /// Gives a claim back because the stage provably did not run.
    virtual void recordNotRun(const ClaimKey &key) = 0;

    /// \return results and releases that are not on the log yet; a process that ends before they
    /// are leaves their keys held until the claim window ends
    virtual std::size_t unrecordedOutcomes() const { return 0; }
};

} // namespace lavendertally::claims
