#pragma once

#include "framework/types/milliseconds.h"
#include "soak/internal/faultkind.h"

#include <cstddef>
#include <cstdint>

namespace lavendertally::soak {

/// One fault of a run.
struct PlannedFault
{
    /// Since the start of traffic.
    framework::Milliseconds at;
    FaultKind kind = FaultKind::GatewayKilled;
    /// Which gateway or backend server.
    std::size_t target = 0;
    framework::Milliseconds duration;
    /// Chooses among the variants of the kind.
    std::uint64_t variant = 0;

    bool operator==(const PlannedFault &) const = default;
};

} // namespace lavendertally::soak
