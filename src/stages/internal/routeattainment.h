#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <algorithm>
#include <unordered_map>

namespace lavendertally::stages {

/// Attainment of each route, that is the smoothed share of its recent jobs that met their
/// objective, and the safety margin that admission adds to estimates so that most admitted jobs
/// meet it.
class RouteAttainment
{
public:
    /// Records the end of any job, including refused ones.
    void record(const framework::RouteId &route, bool metObjective)
    {
        double &attainment = m_attainments.try_emplace(route, 1.0).first->second;
        attainment = (1.0 - SmoothingFactor) * attainment + (metObjective ? SmoothingFactor : 0.0);
    }

    /// \return share between 0 and 1; 1 for a route without jobs so far
    double attainment(const framework::RouteId &route) const
    {
        const auto found = m_attainments.find(route);
        return found == m_attainments.end() ? 1.0 : found->second;
    }

    /// Records a job that was admitted and completed, and adjusts the safety margin.
    void recordCompleted(const framework::RouteId &route, bool metObjective)
    {
        record(route, metObjective);
        m_safetyMargin +=
            metObjective ? framework::Milliseconds(0) - MarginDecrease : MarginIncrease;
        m_safetyMargin = std::clamp(m_safetyMargin, framework::Milliseconds(0), MaxMargin);
    }

    framework::Milliseconds safetyMargin() const { return m_safetyMargin; }

private:
    /// The ratio makes the margin settle where one completed job in ten is late.
    static constexpr framework::Milliseconds MarginIncrease{36};
    static constexpr framework::Milliseconds MarginDecrease{4};
    /// About the duration of one call. With a larger margin, too many jobs would be refused after a
    /// brief fault.
    static constexpr framework::Milliseconds MaxMargin{400};

    /// Weight of the newest job in the exponential moving average, which thus covers the last few
    /// dozen jobs.
    static constexpr double SmoothingFactor = 0.03;

    std::unordered_map<framework::RouteId, double> m_attainments;
    framework::Milliseconds m_safetyMargin;
};

} // namespace lavendertally::stages
