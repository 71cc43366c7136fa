#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <boost/histogram.hpp>

#include <cstddef>
#include <optional>
#include <tuple>

namespace lavendertally::retry {

/// Quantiles of the durations recorded in the last one to two time windows. Older ones expire:
/// otherwise the long durations of a slow period would keep stages from being called at all, and no
/// call would show that the period is over.
class RecentDurations
{
public:
    RecentDurations();

    void add(framework::Milliseconds duration, framework::TimePoint now);

    /// \param percentile 1 to 99
    /// \return lower edge of the histogram bin that holds the quantile; nothing when too few
    /// durations were recorded
    std::optional<framework::Milliseconds> quantile(int percentile, framework::TimePoint now) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

    struct Window
    {
        Window();

        Histogram histogram;
        std::size_t count = 0;
        framework::TimePoint start;
    };

    Window m_current;
    Window m_previous;
};

} // namespace lavendertally::retry
