#pragma once

#include "framework/types/ids.h"
#include "membership/types/backendserverentry.h"
#include "membership/types/membershipgeneration.h"

#include <vector>

namespace lavendertally::membership {

/// Tells which backend servers may receive new work.
class IBackendServers
{
public:
    virtual ~IBackendServers() = default;

    /// \return a number that grows when the results of the other functions change; new slots or a
    /// new end of the cold start in an entry don't count
    virtual MembershipGeneration generation() const = 0;

    /// \return backend servers of \p service that may receive new work, in a stable order; valid
    /// until the next change
    virtual const std::vector<const BackendServerEntry *> &
    admitting(const framework::ServiceId &service) const = 0;

    /// \return the entry of \p server if it may receive new work, or null
    virtual const BackendServerEntry *
    findAdmitting(const framework::BackendServerId &server) const = 0;

    /// \return whether \p server is registered and not draining, also if its availability zone is
    /// out of service
    virtual bool isReady(const framework::BackendServerId &server) const = 0;

    /// \return whether operators have taken the availability zone out of service
    virtual bool isZoneOut(const framework::AvailabilityZoneId &zone) const = 0;
};

} // namespace lavendertally::membership
