#pragma once

#include "claims/types/claimrecord.h"

namespace lavendertally::claims {

/// Receives the records of a stream in order.
class IRecordSink
{
public:
    virtual ~IRecordSink() = default;

    /// Reading continues at a later record, because the log no longer retains those before it. All
    /// state from earlier records must be cleared.
    virtual void reset() = 0;
    virtual void onRecord(const ClaimRecord &record) = 0;
    /// Called after all records of one page were received, and after a failed read.
    /// \return whether to continue reading
    virtual bool wantsMore() = 0;
};

} // namespace lavendertally::claims
