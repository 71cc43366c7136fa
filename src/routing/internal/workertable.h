#pragma once

#include "framework/types/ids.h"
#include "membership/types/hostentry.h"
#include "membership/types/membershipgeneration.h"
#include "routing/internal/workerstate.h"
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

class WorkerSubset;

/// The subset of backend servers of each service that this entry calls, and what it knows of them.
class WorkerTable
{
public:
    struct Worker
    {
        membership::HostEntry host;
        std::uint64_t hash = 0;
        WorkerState *state = nullptr;
    };

    WorkerTable(const membership::IMembership &membership, framework::HostId self,
                const HostSelectorSettings &limits);
    ~WorkerTable();

    /// \return the subset, derived anew when membership has changed; valid until the next call
    const std::vector<Worker> &workers(const framework::ServiceId &service,
                                       const framework::AvailabilityZoneId &localZone);

    /// \return all subsets as they were last derived
    const std::map<framework::ServiceId, std::vector<Worker>> &services() const
    {
        return m_services;
    }

    /// \return what is known of \p host; null when it is not in any subset
    WorkerState *find(const framework::HostId &host);
    const HostSelectorSettings &limits() const { return m_limits; }
    const membership::IMembership &membership() const { return m_membership; }

private:
    struct Known
    {
        WorkerState state;
        framework::AvailabilityZoneId zone;
    };

    void forgetSubsets();
    void dropStatesOfLeftHosts();

    const membership::IMembership &m_membership;
    framework::HostId m_self;
    HostSelectorSettings m_limits;
    std::optional<membership::MembershipGeneration> m_generation;
    framework::AvailabilityZoneId m_localZone;
    std::unique_ptr<WorkerSubset> m_subset;
    std::map<framework::ServiceId, std::vector<Worker>> m_services;
    std::unordered_map<framework::HostId, Known> m_known;
};

} // namespace lavendertally::routing
