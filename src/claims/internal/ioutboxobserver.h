#pragma once

#include "claims/types/claimid.h"

namespace lavendertally::claims {

/// Observes the records of a ClaimOutbox.
class IOutboxObserver
{
public:
    virtual ~IOutboxObserver() = default;

    /// The log service refused a claim, which is not on the log and will not get there.
    virtual void claimRefused(const ClaimId &id) = 0;

    /// An append succeeded or may have taken effect.
    virtual void recordsAppended() = 0;
};

} // namespace lavendertally::claims
