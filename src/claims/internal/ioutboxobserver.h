#pragma once

#include "claims/types/claimid.h"

namespace lavendertally::claims {

/// Hears what becomes of the records of a ClaimOutbox.
class IOutboxObserver
{
public:
    virtual ~IOutboxObserver() = default;

    /// A claim was refused by the log service and is provably not on the log.
    virtual void claimRefused(const ClaimId &id) = 0;

    /// Some records are, or may be, on the log.
    virtual void recordsSent() = 0;
};

} // namespace lavendertally::claims
