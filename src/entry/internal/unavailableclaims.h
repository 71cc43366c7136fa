#pragma once

#include "claims/iclaimservice.h"

namespace lavendertally::entry {

/// Grants no claim, so that what may not be repeated is honestly not run.
class UnavailableClaims final : public claims::IClaimService
{
public:
    void claim(const claims::ClaimRequest & /*request*/,
               std::function<void(claims::ClaimAnswer)> callback) override
    {
        callback({});
    }
    void recordDone(const claims::ClaimKey & /*key*/, const std::string & /*result*/) override { }
    void recordNotRun(const claims::ClaimKey & /*key*/) override { }
};

} // namespace lavendertally::entry
