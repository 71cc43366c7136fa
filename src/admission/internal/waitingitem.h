#pragma once

#include "admission/types/workitem.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

namespace lavendertally::admission {

/// Work item in the admission queue.
struct WaitingItem
{
    WorkItem work;
    /// Latest start at which it is expected to meet its deadline.
    framework::TimePoint latestStart;
    /// Expected service time, charged to its team at start.
    framework::Milliseconds cost;
};

} // namespace lavendertally::admission
