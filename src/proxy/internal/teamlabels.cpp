#include "proxy/internal/teamlabels.h"

namespace lavendertally::proxy {

std::string TeamLabels::of(const framework::TeamId &team)
{
    if (team.isEmpty()) {
        return "none";
    }
    if (m_named.contains(team)) {
        return team.value();
    }
    if (m_named.size() >= m_maxTeams) {
        return "other";
    }
    m_named.insert(team);
    return team.value();
}

} // namespace lavendertally::proxy
