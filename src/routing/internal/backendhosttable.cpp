#include "routing/internal/backendhosttable.h"

#include "membership/imembership.h"
#include "routing/internal/backendhostsubset.h"
#include "routing/internal/rendezvous.h"

#include <utility>

namespace lavendertally::routing {

BackendHostTable::BackendHostTable(const membership::IMembership &membership,
                                   framework::HostId self, const HostSelectorSettings &settings)
    : m_membership(membership), m_self(std::move(self)), m_settings(settings)
{ }

BackendHostTable::~BackendHostTable() = default;

const std::vector<BackendHostTable::BackendHost> &
BackendHostTable::backends(const framework::ServiceId &service,
                           const framework::AvailabilityZoneId &localZone)
{
    const membership::MembershipGeneration generation = m_membership.generation();
    if (m_generation != generation || m_localZone != localZone) {
        m_generation = generation;
        m_localZone = localZone;
        resetSubsets();
    }
    const auto [position, isNew] = m_services.try_emplace(service);
    if (!isNew) {
        return position->second;
    }
    for (membership::HostEntry &host : m_subset->choose(m_membership.admittingHosts(service))) {
        const std::uint64_t hash = hashName(host.id.value());
        KnownHost &known = m_knownHosts[host.id];
        known.zone = host.zone;
        position->second.push_back({.host = std::move(host), .hash = hash, .state = &known.state});
    }
    return position->second;
}

BackendHostState *BackendHostTable::find(const framework::HostId &host)
{
    const auto found = m_knownHosts.find(host);
    return found == m_knownHosts.end() ? nullptr : &found->second.state;
}

void BackendHostTable::resetSubsets()
{
    eraseDepartedHosts();
    m_services.clear();
    m_subset = std::make_unique<BackendHostSubset>(m_membership.entryHosts(), m_self, m_localZone,
                                                   m_settings);
}

void BackendHostTable::eraseDepartedHosts()
{
    std::erase_if(m_knownHosts, [this](const auto &entry) {
        const auto &[host, known] = entry;
        return known.state.inFlight() == 0 && !m_membership.mayReceiveWork(host, known.zone);
    });
}

} // namespace lavendertally::routing
