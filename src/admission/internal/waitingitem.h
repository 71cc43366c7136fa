#pragma once

#include "admission/types/workitem.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

namespace lavendertally::admission {

/// Work item in the queue.
struct WaitingItem
{
    WorkItem work;
    /// Latest start with which it is expected to meet its deadline.
    framework::TimePoint lastStart;
    /// Service time that its team is charged for.
    framework::Milliseconds cost;
};

} // namespace lavendertally::admission
