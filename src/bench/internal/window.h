#pragma once

#include "bench/internal/tally.h"
#include "framework/types/timepoint.h"

namespace lavendertally::bench {

/// Share of requests in time among those that arrived in one window.
struct Window
{
    framework::TimePoint start;
    Tally tally;
};

} // namespace lavendertally::bench
