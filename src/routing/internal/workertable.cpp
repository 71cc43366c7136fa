#include "routing/internal/workertable.h"

#include "membership/imembership.h"
#include "routing/internal/rendezvous.h"
#include "routing/internal/workersubset.h"

#include <utility>

namespace lavendertally::routing {

WorkerTable::WorkerTable(const membership::IMembership &membership, framework::HostId self,
                         const HostSelectorSettings &limits)
    : m_membership(membership), m_self(std::move(self)), m_limits(limits)
{ }

WorkerTable::~WorkerTable() = default;

const std::vector<WorkerTable::Worker> &
WorkerTable::workers(const framework::ServiceId &service,
                     const framework::AvailabilityZoneId &localZone)
{
    const membership::MembershipGeneration generation = m_membership.generation();
    if (m_generation != generation || m_localZone != localZone) {
        m_generation = generation;
        m_localZone = localZone;
        forgetSubsets();
    }
    const auto [position, isNew] = m_services.try_emplace(service);
    if (!isNew) {
        return position->second;
    }
    for (membership::HostEntry &host : m_subset->choose(m_membership.admittingHosts(service))) {
        const std::uint64_t hash = hashName(host.id.value());
        Known &known = m_known[host.id];
        known.zone = host.zone;
        position->second.push_back({.host = std::move(host), .hash = hash, .state = &known.state});
    }
    return position->second;
}

WorkerState *WorkerTable::find(const framework::HostId &host)
{
    const auto found = m_known.find(host);
    return found == m_known.end() ? nullptr : &found->second.state;
}

void WorkerTable::forgetSubsets()
{
    dropStatesOfLeftHosts();
    m_services.clear();
    m_subset =
        std::make_unique<WorkerSubset>(m_membership.entryHosts(), m_self, m_localZone, m_limits);
}

void WorkerTable::dropStatesOfLeftHosts()
{
    std::erase_if(m_known, [this](const auto &entry) {
        const auto &[host, known] = entry;
        return known.state.inFlight() == 0 && !m_membership.mayReceiveWork(host, known.zone);
    });
}

} // namespace lavendertally::routing
