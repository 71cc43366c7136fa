#pragma once

#include "admission/internal/queueprecedence.h"
#include "admission/types/workitem.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <cstdint>

namespace lavendertally::admission {

/// Work item in the admission queue.
struct WaitingItem
{
    WorkItem work;
    /// Lower ranks start first.
    framework::PriorityRank rank;
    /// Latest start at which it is expected to meet its deadline.
    framework::TimePoint latestStart;
    /// Expected service time, charged to its team at start.
    framework::Milliseconds cost;
    QueuePrecedence precedence = QueuePrecedence::Fresh;
    /// Weight of its pipeline within its team.
    std::uint32_t pipelineShare = 1;
};

} // namespace lavendertally::admission
