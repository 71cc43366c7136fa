#pragma once

#include "claims/types/claimid.h"
#include "framework/types/timepoint.h"

#include <string>

namespace lavendertally::claims {

/// Record that is waiting to be appended to the log.
struct OutboxRecord
{
    ClaimId id;
    bool isClaim = false;
    std::string text;
    /// When the record becomes useless and is dropped, on the clock of this process.
    framework::TimePoint expiresAt;
    /// Whether an append of it may have taken effect although it failed.
    bool maybeAppended = false;
};

} // namespace lavendertally::claims
