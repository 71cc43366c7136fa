#include "bench/internal/latencysamples.h"

#include <algorithm>

namespace lavendertally::bench {

namespace {

constexpr double Hundred = 100.0;

} // namespace

std::int64_t LatencySamples::percentile(double percent) const
{
    if (m_samples.empty()) {
        return 0;
    }
    std::vector<std::int64_t> sorted = m_samples;
    const double position = percent / Hundred * static_cast<double>(sorted.size());
    const std::size_t rank = std::min(sorted.size() - 1, static_cast<std::size_t>(position));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                     sorted.end());
    return sorted[rank];
}

} // namespace lavendertally::bench
