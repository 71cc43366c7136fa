#pragma once

#include "claims/types/claimid.h"
#include "framework/types/timepoint.h"

#include <string>

namespace lavendertally::claims {

/// Record that waits for its append.
struct OutboxRecord
{
    ClaimId id;
    bool isClaim = false;
    std::string text;
    /// When the record is no longer worth an append, on this process's clock.
    framework::TimePoint giveUpAt;
    /// Whether some append of it may have taken effect.
    bool maybeSent = false;
};

} // namespace lavendertally::claims
