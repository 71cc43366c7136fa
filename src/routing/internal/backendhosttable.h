#pragma once

#include "framework/types/ids.h"
#include "membership/types/hostentry.h"
#include "membership/types/membershipgeneration.h"
#include "routing/internal/backendhoststate.h"
#include "routing/types/hostselectorsettings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lavendertally::membership {
class IMembership;
}

namespace lavendertally::routing {

class BackendHostSubset;

/// The subset of the backend hosts of each service that this entry calls, with their state. A
/// subset is derived when it is first asked for and again after each change of the membership.
class BackendHostTable
{
public:
    /// Backend host of a subset.
    struct BackendHost
    {
        membership::HostEntry host;
        /// hashName() of the host's id.
        std::uint64_t hash = 0;
        BackendHostState *state = nullptr;
    };

    BackendHostTable(const membership::IMembership &membership, framework::HostId self,
                     const HostSelectorSettings &settings);
    ~BackendHostTable();

    /// \return the subset of \p service for an entry in \p localZone; valid until the next call
    const std::vector<BackendHost> &backends(const framework::ServiceId &service,
                                             const framework::AvailabilityZoneId &localZone);

    /// \return the subsets derived so far
    const std::map<framework::ServiceId, std::vector<BackendHost>> &services() const
    {
        return m_services;
    }

    /// \return state of \p host, or null when it is unknown, that is, was in no subset or has left
    BackendHostState *find(const framework::HostId &host);
    const HostSelectorSettings &settings() const { return m_settings; }
    const membership::IMembership &membership() const { return m_membership; }

private:
    /// Host that is or was in a subset; kept while it may receive work or calls are in flight.
    struct KnownHost
    {
        BackendHostState state;
        framework::AvailabilityZoneId zone;
    };

    void resetSubsets();
    void eraseDepartedHosts();

    const membership::IMembership &m_membership;
    framework::HostId m_self;
    HostSelectorSettings m_settings;
    std::optional<membership::MembershipGeneration> m_generation;
    framework::AvailabilityZoneId m_localZone;
    std::unique_ptr<BackendHostSubset> m_subset;
    std::map<framework::ServiceId, std::vector<BackendHost>> m_services;
    std::unordered_map<framework::HostId, KnownHost> m_knownHosts;
};

} // namespace lavendertally::routing
