#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

namespace lavendertally::orders {

/// Lease of this process, on its own clock.
struct HeldLease
{
    framework::FencingNumber fencing;
    /// Counted from before its record was sent to the log.
    framework::TimePoint end;
    /// When the leases of earlier holders have run out for certain.
    framework::TimePoint othersEnd;
};

} // namespace lavendertally::orders
