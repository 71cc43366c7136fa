#include "proxy/internal/answertimeestimator.h"

#include <cmath>

namespace lavendertally::proxy {

namespace {

/// Weights of the newest sample (RFC 6298).
constexpr double TakenWeight = 0.125;
constexpr double DeviationWeight = 0.25;

/// Deviations above the average that few requests exceed.
constexpr double DeviationFactor = 2.0;

} // namespace

framework::Milliseconds AnswerTimeEstimator::estimate(const framework::RouteId &route) const
{
    const auto found = m_averages.find(route);
    if (found == m_averages.end()) {
        return framework::Milliseconds(0);
    }
    const Averages &averages = found->second;
    return framework::Milliseconds(
        std::llround(averages.taken + DeviationFactor * averages.deviation));
}

void AnswerTimeEstimator::observe(const framework::RouteId &route, framework::Milliseconds taken)
{
    const auto measured = static_cast<double>(taken.value());
    const auto [entry, isFirst] = m_averages.try_emplace(route, Averages{measured, measured / 2.0});
    if (isFirst) {
        return;
    }
    Averages &averages = entry->second;
    averages.deviation +=
        DeviationWeight * (std::abs(averages.taken - measured) - averages.deviation);
    averages.taken += TakenWeight * (measured - averages.taken);
}

} // namespace lavendertally::proxy
