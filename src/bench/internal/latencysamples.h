#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lavendertally::bench {

/// Latencies of one run, in microseconds.
class LatencySamples
{
public:
    void add(std::int64_t micros) { m_samples.push_back(micros); }
    std::size_t count() const { return m_samples.size(); }

    /// \param percent from 0 to 100
    /// \return the nearest-rank percentile; zero without samples
    std::int64_t percentile(double percent) const;

private:
    std::vector<std::int64_t> m_samples;
};

} // namespace lavendertally::bench
