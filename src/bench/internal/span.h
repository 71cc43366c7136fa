#pragma once

#include "framework/types/timepoint.h"

namespace lavendertally::bench {

/// Span of simulated time.
struct Span
{
    framework::TimePoint start;
    framework::TimePoint end;

    bool contains(framework::TimePoint time) const { return time >= start && time < end; }
};

} // namespace lavendertally::bench
