#include "rollout/internal/serviceversions.h"

#include "membership/types/backendserverentry.h"

#include <algorithm>

namespace lavendertally::rollout {

ServiceVersions::ServiceVersions(const std::vector<const membership::BackendServerEntry *> &servers)
{
    for (const membership::BackendServerEntry *server : servers) {
        const auto [position, isNew] =
            m_versions.try_emplace(server->version, Group{0, server->incarnation});
        Group &group = position->second;
        ++group.servers;
        group.oldest = std::min(group.oldest, server->incarnation);
    }
}

std::size_t ServiceVersions::servers(const framework::SoftwareVersion &version) const
{
    const auto found = m_versions.find(version);
    return found == m_versions.end() ? 0 : found->second.servers;
}

std::size_t ServiceVersions::otherServers(const framework::SoftwareVersion &version) const
{
    std::size_t count = 0;
    for (const auto &[each, group] : m_versions) {
        count += each == version ? 0 : group.servers;
    }
    return count;
}

bool ServiceVersions::isOldest(const framework::SoftwareVersion &version) const
{
    const auto found = m_versions.find(version);
    return found != m_versions.end()
        && std::all_of(m_versions.begin(), m_versions.end(), [&](const auto &each) {
               return each.first == version || found->second.oldest < each.second.oldest;
           });
}

std::optional<framework::SoftwareVersion>
ServiceVersions::largest(const std::optional<framework::SoftwareVersion> &excluded) const
{
    std::optional<framework::SoftwareVersion> best;
    Group bestGroup;
    for (const auto &[version, group] : m_versions) {
        const bool isBetter = !best || group.servers > bestGroup.servers
            || (group.servers == bestGroup.servers && group.oldest < bestGroup.oldest);
        if (version != excluded && isBetter) {
            best = version;
            bestGroup = group;
        }
    }
    return best;
}

} // namespace lavendertally::rollout
