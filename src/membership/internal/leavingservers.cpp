#include "membership/internal/leavingservers.h"

#include "membership/types/serverlifetime.h"

#include <algorithm>

namespace lavendertally::membership {

namespace {

/// Many more than leave within the seconds in which one of their reports may be executed late.
constexpr std::size_t MaxServers = 4096;

} // namespace

bool LeavingServers::add(const ServerLifetime &server)
{
    const auto [known, isNew] = m_latest.try_emplace(server.id, server.incarnation);
    if (isNew) {
        m_order.push_back(server.id);
        return true;
    }
    const bool isLater = known->second < server.incarnation;
    known->second = std::max(known->second, server.incarnation);
    return isLater;
}

bool LeavingServers::contains(const ServerLifetime &server) const
{
    const auto found = m_latest.find(server.id);
    return found != m_latest.end() && server.incarnation <= found->second;
}

void LeavingServers::registrationEnded(const framework::BackendServerId &server)
{
    const auto found = m_latest.find(server);
    if (found != m_latest.end() && found->second == framework::Incarnation(0)) {
        m_latest.erase(found);
        std::erase(m_order, server);
    }
}

void LeavingServers::purge(
    const std::function<bool(const framework::BackendServerId &)> &isRegistered)
{
    while (m_order.size() > MaxServers) {
        const auto oldest = std::find_if_not(m_order.begin(), m_order.end(), isRegistered);
        if (oldest == m_order.end()) {
            return;
        }
        m_latest.erase(*oldest);
        m_order.erase(oldest);
    }
}

} // namespace lavendertally::membership
