#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::protocol {

/// Load of one backend server, as its host process sees it when it sends the report.
struct LoadReport
{
    /// Calls in flight.
    std::uint32_t running = 0;
    /// Calls that wait for a slot.
    std::uint32_t queued = 0;
    /// Number of calls that may run concurrently at present.
    std::uint32_t limit = 0;
    /// Whether the backend server is in its cold start.
    bool cold = false;
    /// Expected queueing time of a call that arrives now.
    framework::Milliseconds expectedWait;
    framework::Incarnation incarnation;

    bool operator==(const LoadReport &) const = default;
};

} // namespace lavendertally::protocol
