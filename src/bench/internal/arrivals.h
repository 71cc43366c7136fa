#pragma once

#include "bench/internal/site.h"
#include "framework/types/timepoint.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace lavendertally::bench {

/// One recorded request; its service times are part of the record, so that every policy meets the
/// same work.
struct Arrival
{
    framework::TimePoint time;
    std::size_t workload = 0;
    framework::TeamId team;
    std::uint32_t entry = 0;
    std::uint64_t prefixHash = 0;
    std::vector<framework::Milliseconds> stageTimes;
};

/// Records arrivals of a Poisson process with bursts.
/// \param load requests as a part of capacity at a time since the start
std::vector<Arrival> recordArrivals(const Site &site, std::uint64_t seed,
                                    framework::Milliseconds length,
                                    const std::function<double(framework::Milliseconds)> &load);

} // namespace lavendertally::bench
