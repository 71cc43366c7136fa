#pragma once

#include "framework/types/ids.h"
#include "membership/types/hostentry.h"
#include "routing/types/hostselectorsettings.h"

#include <cstdint>
#include <vector>

namespace lavendertally::routing {

/// Chooses the backend servers that one entry calls, so that connections do not grow with entries
/// times backend servers. Both sides choose by rendezvous hashing: each backend server picks some
/// entries, so that it is in at least that many subsets, and each entry picks some backend servers
/// of each service, so that it is never left without. A change of one host moves only the choices
/// that involve it.
class WorkerSubset
{
public:
    /// \param entries all entry hosts; \p self need not be among them
    WorkerSubset(const std::vector<membership::HostEntry> &entries, const framework::HostId &self,
                 framework::AvailabilityZoneId selfZone, const HostSelectorSettings &limits);

    /// \param workers admitting hosts of one service
    /// \return those that this entry calls, in the order given
    std::vector<membership::HostEntry>
    choose(const std::vector<membership::HostEntry> &workers) const;

private:
    struct Entry
    {
        std::uint64_t hash = 0;
        framework::AvailabilityZoneId zone;
    };

    bool isChosenBy(const membership::HostEntry &worker, std::uint64_t workerHash) const;
    void markOwnChoices(const std::vector<membership::HostEntry> &workers,
                        const std::vector<std::uint64_t> &hashes, bool local,
                        std::vector<bool> &chosen) const;

    std::vector<Entry> m_entries;
    std::uint64_t m_selfHash;
    framework::AvailabilityZoneId m_selfZone;
    HostSelectorSettings m_limits;
};

} // namespace lavendertally::routing
