#pragma once

#include "framework/types/ids.h"
#include "membership/types/backendserverentry.h"
#include "membership/types/membershipgeneration.h"

#include <vector>

namespace lavendertally::membership {

/// Which backend servers may receive new work.
class IBackendServers
{
public:
    virtual ~IBackendServers() = default;

    /// \return a number that grows with every change of what the other functions answer
    virtual MembershipGeneration generation() const = 0;

    /// \return backend servers of \p service that may receive new work, in a stable order; valid
    /// until the next change
    virtual const std::vector<const BackendServerEntry *> &
    admitting(const framework::ServiceId &service) const = 0;

    /// \return the entry if that backend server may receive new work, or null
    virtual const BackendServerEntry *
    findAdmitting(const framework::BackendServerId &server) const = 0;

    /// \return whether operators have taken the availability zone out
    virtual bool isZoneOut(const framework::AvailabilityZoneId &zone) const = 0;
};

} // namespace lavendertally::membership
