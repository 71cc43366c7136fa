#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::protocol {

/// What one coordinator of stages has at a backend server.
struct StageHolding
{
    framework::BackendServerId server;
    /// Room that its results take there.
    framework::Bytes held;
    /// Calls under way.
    std::uint32_t calls = 0;

    bool operator==(const StageHolding &) const = default;
};

} // namespace lavendertally::protocol
