#pragma once

#include "membership/types/hostentry.h"
#include "membership/types/hostexclusion.h"

namespace lavendertally::membership {

/// A known host and the reason, if any, why it may not receive new work.
struct HostStatus
{
    HostEntry entry;
    HostExclusion exclusion = HostExclusion::None;
};

} // namespace lavendertally::membership
