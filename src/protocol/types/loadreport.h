#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::protocol {

/// Load of one backend server as its host process knows it at this moment.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Calls that may run at once now.
    std::uint32_t limit = 0;
    bool cold = false;
    /// Expected wait of a call that arrives now.
    framework::Milliseconds expectedWait;
    framework::Incarnation incarnation;

    bool operator==(const LoadReport &) const = default;
};

} // namespace lavendertally::protocol
