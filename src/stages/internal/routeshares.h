#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <algorithm>
#include <unordered_map>

namespace lavendertally::stages {

/// How each route's recent jobs went: the share that was done in time, and the margin with which
/// jobs must be expected to be done so that most of those taken are.
class RouteShares
{
public:
    void record(const framework::RouteId &route, bool inTime)
    {
        double &share = m_shares.try_emplace(route, 1.0).first->second;
        share = (1.0 - NewestWeight) * share + (inTime ? NewestWeight : 0.0);
    }

    double share(const framework::RouteId &route) const
    {
        const auto found = m_shares.find(route);
        return found == m_shares.end() ? 1.0 : found->second;
    }

    /// A job that had been taken was done.
    void recordDone(const framework::RouteId &route, bool inTime)
    {
        record(route, inTime);
        m_margin += inTime ? framework::Milliseconds(0) - MarginDecrease : MarginIncrease;
        m_margin = std::clamp(m_margin, framework::Milliseconds(0), MaxMargin);
    }

    framework::Milliseconds margin() const { return m_margin; }

private:
    /// In balance, one job in ten is late.
    static constexpr framework::Milliseconds MarginIncrease{36};
    static constexpr framework::Milliseconds MarginDecrease{4};
    /// About one call of a stage; with more, too much would be refused after a short fault.
    static constexpr framework::Milliseconds MaxMargin{400};

    /// Weight of the newest job; the last few dozen count.
    static constexpr double NewestWeight = 0.03;

    std::unordered_map<framework::RouteId, double> m_shares;
    framework::Milliseconds m_margin;
};

} // namespace lavendertally::stages
