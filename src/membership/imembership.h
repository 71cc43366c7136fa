#pragma once

#include "framework/types/ids.h"
#include "membership/types/hostentry.h"
#include "membership/types/membershipgeneration.h"

#include <vector>

namespace lavendertally::membership {

/// Tells which hosts may receive new work, according to the host list, the zones and hosts that
/// operators have taken out of service, and the refusals that this process received.
class IMembership
{
public:
    virtual ~IMembership() = default;

    /// \return a number that grows with every change of the results of the other functions, so that
    /// callers can cache what they derive from them
    virtual MembershipGeneration generation() const = 0;

    /// \return backend hosts of \p service that may receive new work, in a stable order
    virtual std::vector<HostEntry> admittingHosts(const framework::ServiceId &service) const = 0;

    /// \return whether \p host is known in \p zone and may receive new work
    virtual bool mayReceiveWork(const framework::HostId &host,
                                const framework::AvailabilityZoneId &zone) const = 0;

    /// \return all hosts with the role HostRole::Entry, in order of their id
    virtual std::vector<HostEntry> entryHosts() const = 0;
};

} // namespace lavendertally::membership
