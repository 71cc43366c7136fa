#pragma once

#include "claims/types/claimrecord.h"

namespace lavendertally::claims {

/// Takes the records of a stream in order.
class IRecordSink
{
public:
    virtual ~IRecordSink() = default;

    /// Reading begins again at a later record, because those before it are no longer kept.
    virtual void restart() = 0;
    virtual void take(const ClaimRecord &record) = 0;
    /// The records of one answer have been taken.
    /// \return whether to read on
    virtual bool wantsMore() = 0;
};

} // namespace lavendertally::claims
