#include "routing/internal/workertable.h"

#include "membership/imembership.h"
#include "routing/internal/rendezvous.h"
#include "routing/internal/workersubset.h"

#include <utility>

namespace lavendertally::routing {

WorkerTable::WorkerTable(const membership::IMembership &membership, framework::HostId self,
                         const SelectorLimits &limits)
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
        forgetAll();
    }
    const auto [position, isNew] = m_services.try_emplace(service);
    if (!isNew) {
        return position->second;
    }
    for (membership::HostEntry &host : m_subset->choose(m_membership.admittingHosts(service))) {
        const std::uint64_t hash = hashName(host.id.value());
        WorkerState *hostState = &state(host.id);
        position->second.push_back({.host = std::move(host), .hash = hash, .state = hostState});
    }
    return position->second;
}

void WorkerTable::forgetAll()
{
    dropUnusedStates();
    m_services.clear();
    m_subset =
        std::make_unique<WorkerSubset>(m_membership.entryHosts(), m_self, m_localZone, m_limits);
}

void WorkerTable::dropUnusedStates()
{
    for (const auto &[service, workers] : m_services) {
        for (const Worker &worker : workers) {
            const bool stays = m_membership.mayReceiveWork(worker.host.id, worker.host.zone);
            if (!stays && worker.state->inFlight() == 0) {
                m_states.erase(worker.host.id);
            }
        }
    }
}

} // namespace lavendertally::routing
