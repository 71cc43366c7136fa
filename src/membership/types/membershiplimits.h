#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::membership {

/// Time limits of exclusions, and the rules for host list responses that may be truncated.
struct MembershipLimits
{
    /// Time for which a host counts as leaving after the last row with that state. Rows with the
    /// state `live` within that time come from a lagging replica of the host list.
    framework::Milliseconds leavingHold{30000};
    /// Time for which a host is excluded after it refused work as leaving.
    framework::Milliseconds refusedLeavingHold{10000};
    /// Longest time for which a zone or host is excluded after a refusal with a newer revision; it
    /// ends sooner when this process reaches that revision.
    framework::Milliseconds newerRefusalHold{10000};
    /// Time for which a host is excluded after a refusal with a revision that is not newer.
    framework::Milliseconds olderRefusalHold{1000};
    /// A response with fewer rows than this percentage of the known hosts counts as short.
    std::uint32_t shortListPercent = 50;
    /// Short responses apply in full after at least this time and number without a longer one.
    framework::Milliseconds shortListTime{60000};
    std::uint32_t shortListCount = 10;
};

} // namespace lavendertally::membership
