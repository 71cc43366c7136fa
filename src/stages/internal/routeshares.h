#pragma once

#include "framework/types/ids.h"

#include <unordered_map>

namespace lavendertally::stages {

/// Share of each route's recent jobs that were done in time.
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

private:
    /// Weight of the newest job; the last few dozen count.
    static constexpr double NewestWeight = 0.03;

    std::unordered_map<framework::RouteId, double> m_shares;
};

} // namespace lavendertally::stages
