#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::membership {

/// Time bounds of what a process believes about hosts.
struct MembershipLimits
{
    /// How long a host stays leaving after the last row that said so. Rows that say `live` within
    /// that time come from a lagging replica of the host list.
    framework::Milliseconds leavingHold{30000};
    /// How long a host is held back after it refused work as leaving.
    framework::Milliseconds refusedLeavingHold{10000};
    /// How long a zone or host is held back after a refusal with a newer revision, at most.
    framework::Milliseconds newerRefusalHold{10000};
    /// How long a host is held back after a refusal that its own older revision explains.
    framework::Milliseconds olderRefusalHold{1000};
    /// An answer with less than this part of the known hosts counts as short.
    std::uint32_t shortListPercent = 50;
    /// Short answers count in full after this time and number without a longer one.
    framework::Milliseconds shortListTime{60000};
    std::uint32_t shortListCount = 10;
};

} // namespace lavendertally::membership
