#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <unordered_map>

namespace lavendertally::proxy {

/// Estimates how long the requests of a route take at most, from their smoothed time and its
/// smoothed deviation, as TCP does for round trips (RFC 6298, section 2).
class AnswerTimeEstimator
{
public:
    /// \return time from the arrival of a request in which nearly all of its route end; zero if
    /// none has been measured
    framework::Milliseconds estimate(const framework::RouteId &route) const;

    /// Records a measurement.
    /// \param taken time from the arrival of a request to its whole answer
    void observe(const framework::RouteId &route, framework::Milliseconds taken);

private:
    /// Moving averages of one route, in milliseconds.
    struct Averages
    {
        double taken = 0.0;
        double deviation = 0.0;
    };

    std::unordered_map<framework::RouteId, Averages> m_averages;
};

} // namespace lavendertally::proxy
