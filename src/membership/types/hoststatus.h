#pragma once

#include "membership/types/hostentry.h"
#include "membership/types/hostexclusion.h"

namespace lavendertally::membership {

/// Known host and whether it may receive new work.
struct HostStatus
{
    HostEntry entry;
    HostExclusion exclusion = HostExclusion::None;
};

} // namespace lavendertally::membership
