#pragma once

#include "membership/types/hostbarrier.h"
#include "membership/types/hostentry.h"

namespace lavendertally::membership {

/// Known host and whether it may receive new work.
struct HostStatus
{
    HostEntry entry;
    HostBarrier barrier = HostBarrier::None;
};

} // namespace lavendertally::membership
