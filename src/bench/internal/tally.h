#pragma once

#include "bench/internal/outcome.h"

#include <cstddef>

namespace lavendertally::bench {

/// Counts of requests by their ending.
struct Tally
{
    std::size_t requests = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;

    void add(Ending ending);
    double attainment() const;
};

} // namespace lavendertally::bench
