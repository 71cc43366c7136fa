#pragma once

#include "framework/types/ids.h"
#include "membership/types/hostentry.h"
#include "routing/types/hostselectorsettings.h"

#include <cstdint>
#include <vector>

namespace lavendertally::routing {

/// Chooses the backend hosts that one entry calls, so that the number of connections does not grow
/// with the product of entries and backend hosts. Both sides choose by rendezvous hashing: each
/// backend host chooses some entries, so that it is in at least that many subsets, and each entry
/// chooses some backend hosts of each service, so that its subset is not empty. Adding or removing
/// one host changes only the choices that involve it.
class BackendHostSubset
{
public:
    /// \param entries all entry hosts; \p self may be missing
    /// \param self host of the entry whose subset is chosen
    BackendHostSubset(const std::vector<membership::HostEntry> &entries,
                      const framework::HostId &self, framework::AvailabilityZoneId selfZone,
                      const HostSelectorSettings &settings);

    /// \param backends admitting hosts of one service
    /// \return the hosts that this entry calls, in the same order
    std::vector<membership::HostEntry>
    choose(const std::vector<membership::HostEntry> &backends) const;

private:
    struct Entry
    {
        std::uint64_t hash = 0;
        framework::AvailabilityZoneId zone;
    };

    bool isChosenBy(const membership::HostEntry &backend, std::uint64_t backendHash) const;
    void markOwnChoices(const std::vector<membership::HostEntry> &backends,
                        const std::vector<std::uint64_t> &hashes, bool local,
                        std::vector<bool> &chosen) const;

    std::vector<Entry> m_entries;
    std::uint64_t m_selfHash;
    framework::AvailabilityZoneId m_selfZone;
    HostSelectorSettings m_settings;
};

} // namespace lavendertally::routing
