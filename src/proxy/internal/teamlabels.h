#pragma once

#include "framework/types/ids.h"

#include <cstddef>
#include <set>
#include <string>

namespace lavendertally::proxy {

/// Values of the metric label `team`. A configuration may have thousands of teams, and each value
/// costs a time series for each route and outcome, so that only the first ones seen by the process
/// get a value of their own.
class TeamLabels
{
public:
    explicit TeamLabels(std::size_t maxTeams) : m_maxTeams(maxTeams) { }

    /// \param team empty if the request was not authenticated
    /// \return `none`, the team, or `other`
    std::string of(const framework::TeamId &team);

private:
    std::size_t m_maxTeams;
    std::set<framework::TeamId> m_named;
};

} // namespace lavendertally::proxy
