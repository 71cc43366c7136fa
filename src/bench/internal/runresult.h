#pragma once

#include "bench/internal/outcome.h"
#include "framework/types/milliseconds.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lavendertally::bench {

/// What a run of one scenario under one variant showed.
struct RunResult
{
    std::vector<Outcome> outcomes;
    std::uint64_t freshCalls = 0;
    std::uint64_t retries = 0;
    /// Times that a backend server in cold start got more than it can bear.
    std::uint32_t coldOverloads = 0;
    /// From the zone's leaving to the last start of work in it.
    std::optional<framework::Milliseconds> zoneOutTime;
    /// From the zone's return until it carries its part of the running work.
    std::optional<framework::Milliseconds> zoneInTime;
};

} // namespace lavendertally::bench
