#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <boost/histogram.hpp>

#include <cstddef>
#include <optional>
#include <tuple>

namespace lavendertally::retry {

/// Quantiles of the durations seen in the last one to two windows of time. What is older counts no
/// more, so that a slow spell cannot shut out the calls that would show its end.
class RecentDurations
{
public:
    RecentDurations();

    void add(framework::Milliseconds duration, framework::TimePoint now);

    /// \param percent 1 to 99
    /// \return lower edge of the bin that holds the quantile; nothing when too few were seen
    std::optional<framework::Milliseconds> quantile(int percent, framework::TimePoint now) const;

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
