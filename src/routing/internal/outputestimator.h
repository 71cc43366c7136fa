#pragma once

#include "framework/types/ids.h"

#include <cstdint>
#include <map>
#include <utility>

namespace lavendertally::routing {

struct RequestWork;

/// Estimates the length of answers from the client's limit, from its hint, and from what was
/// learned by route and team. Hint and learned length are weighed by how far each was off.
class OutputEstimator
{
public:
    /// \return expected output tokens; at least one
    double estimate(const RequestWork &work) const;

    /// \param tokens length of a whole answer
    void observe(const RequestWork &work, double tokens);

private:
    /// Moving averages of one route, or of one team there. Logarithms, since lengths are skewed.
    struct Length
    {
        std::uint32_t samples = 0;
        double logMean = 0.0;
        double logVariance = 0.0;
        std::uint32_t hints = 0;
        /// Of the length divided by the hint.
        double hintLogMean = 0.0;
        double hintLogVariance = 0.0;
    };

    using Key = std::pair<framework::RouteId, framework::TeamId>;

    const Length *find(const RequestWork &work) const;
    static void observe(Length &length, const RequestWork &work, double tokens);

    std::map<Key, Length> m_teams;
    std::map<framework::RouteId, Length> m_routes;
};

} // namespace lavendertally::routing
