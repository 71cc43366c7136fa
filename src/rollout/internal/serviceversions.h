#pragma once

#include "framework/types/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace lavendertally::membership {
struct BackendServerEntry;
}

namespace lavendertally::rollout {

/// Versions of the ready servers of one service.
class ServiceVersions
{
public:
    ServiceVersions() = default;
    explicit ServiceVersions(const std::vector<const membership::BackendServerEntry *> &servers);

    bool isMixed() const { return m_versions.size() > 1; }
    std::size_t servers(const framework::SoftwareVersion &version) const;
    /// \return ready servers of other versions
    std::size_t otherServers(const framework::SoftwareVersion &version) const;
    /// \return whether a server of \p version started before those of all other versions
    bool isOldest(const framework::SoftwareVersion &version) const;

    /// \param excluded version that is not returned, if given
    /// \return the version with most ready servers; of several, the one whose oldest server started
    /// first. Nothing if there is none
    std::optional<framework::SoftwareVersion>
    largest(const std::optional<framework::SoftwareVersion> &excluded) const;

private:
    struct Group
    {
        std::size_t servers = 0;
        framework::Incarnation oldest;
    };

    std::map<framework::SoftwareVersion, Group> m_versions;
};

} // namespace lavendertally::rollout
