#pragma once

#include "framework/types/ids.h"
#include "membership/types/hostentry.h"
#include "membership/types/membershipgeneration.h"

#include <vector>

namespace lavendertally::membership {

/// Which hosts may receive new work, from the host list, the operators' orders and what this
/// process saw itself.
class IMembership
{
public:
    virtual ~IMembership() = default;

    /// \return a number that grows with every change of what the other functions answer, so that
    /// callers can keep what they derived from it
    virtual MembershipGeneration generation() const = 0;

    /// \return backend hosts of \p service that may receive new work, in a stable order
    virtual std::vector<HostEntry> admittingHosts(const framework::ServiceId &service) const = 0;

    /// \return whether \p host in \p zone may receive new work as far as this process knows
    virtual bool mayReceiveWork(const framework::HostId &host,
                                const framework::AvailabilityZoneId &zone) const = 0;

    /// \return daemons that can be asked for newer configuration
    virtual std::vector<HostEntry> entryHosts() const = 0;
};

} // namespace lavendertally::membership
