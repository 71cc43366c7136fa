#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::protocol {

/// Resources that one coordinator of stages uses at a backend server.
struct StageHolding
{
    framework::BackendServerId server;
    /// Memory that results of its jobs occupy there.
    framework::Bytes held;
    /// Its calls in flight there.
    std::uint32_t calls = 0;

    bool operator==(const StageHolding &) const = default;
};

} // namespace lavendertally::protocol
