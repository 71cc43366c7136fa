#include "retry/internal/recentdurations.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavendertally::retry {

namespace {

constexpr framework::Milliseconds WindowLength{5000};
constexpr std::size_t MinSamples = 5;
constexpr int BinCount = 96;
constexpr double LowestMs = 1.0;
constexpr double HighestMs = 300000.0;
constexpr std::size_t Percent = 100;

} // namespace

RecentDurations::Window::Window() : histogram(std::make_tuple(Axis(BinCount, LowestMs, HighestMs)))
{ }

RecentDurations::RecentDurations() = default;

void RecentDurations::add(framework::Milliseconds duration, framework::TimePoint now)
{
    if (now - m_current.start >= WindowLength) {
        std::swap(m_previous, m_current);
        m_current.histogram.reset();
        m_current.count = 0;
        m_current.start = now;
    }
    m_current.histogram(static_cast<double>(duration.value()));
    ++m_current.count;
}

std::optional<framework::Milliseconds> RecentDurations::quantile(int percentile,
                                                                 framework::TimePoint now) const
{
    const framework::TimePoint oldest = now - WindowLength * 2;
    const bool usesCurrent = m_current.start >= oldest;
    const bool usesPrevious = m_previous.start >= oldest;
    const std::size_t count =
        (usesCurrent ? m_current.count : 0) + (usesPrevious ? m_previous.count : 0);
    if (count < MinSamples) {
        return std::nullopt;
    }
    const std::size_t rank = count * static_cast<std::size_t>(percentile) / Percent;
    std::size_t cumulative = 0;
    const Axis &axis = m_current.histogram.axis();
    for (int bin = -1; bin < axis.size(); ++bin) {
        cumulative += usesCurrent ? static_cast<std::size_t>(m_current.histogram.at(bin)) : 0;
        cumulative += usesPrevious ? static_cast<std::size_t>(m_previous.histogram.at(bin)) : 0;
        if (cumulative > rank) {
            const double lower = bin < 0 ? 0.0 : axis.bin(bin).lower();
            return framework::Milliseconds(std::lround(lower));
        }
    }
    return framework::Milliseconds(std::lround(HighestMs));
}

} // namespace lavendertally::retry
