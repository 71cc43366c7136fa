#pragma once

#include "admission/types/workitem.h"

#include <string>

namespace lavendertally::admission {

inline WorkKey makeKey(std::uint64_t number)
{
    return {framework::DaemonId("entry-1"), framework::AttemptId(number)};
}

/// \return item of class Standard and team `t1` with a deadline too far off to matter
inline WorkItem makeItem(std::uint64_t number)
{
    WorkItem item;
    item.key = makeKey(number);
    item.team = framework::TeamId("t1");
    item.pipeline = framework::PipelineId("p1");
    item.deadline = framework::TimePoint(1'000'000'000);
    return item;
}

} // namespace lavendertally::admission
