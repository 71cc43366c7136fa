#pragma once

#include <cstddef>

namespace lavendertally::stages {

/// Number of jobs of one route by outcome.
struct StageLoadResult
{
    std::size_t submitted = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    /// Ended without results, at any time.
    std::size_t refused = 0;
    /// Refused later than their latency objective.
    std::size_t refusedLate = 0;
};

} // namespace lavendertally::stages
