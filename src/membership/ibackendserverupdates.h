#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

#include <optional>
#include <set>

namespace lavendertally::membership {

struct BackendServerEntry;
struct ServerLifetime;

/// Receives the registrations of backend servers and the availability zones out of service from the
/// platform.
class IBackendServerUpdates
{
public:
    virtual ~IBackendServerUpdates() = default;

    /// Adds or updates the entry of a backend server that registered, changed or sent a heartbeat.
    /// \return whether the registration changed
    virtual bool put(const BackendServerEntry &entry) = 0;

    /// Removes a backend server whose registration was deleted or lapsed. During the grace period
    /// after registryRecovered() it is kept until expire().
    virtual void remove(const framework::BackendServerId &server, framework::TimePoint now) = 0;

    /// Starts a grace period, since the registry was unavailable until \p now: registrations may
    /// have lapsed meanwhile although their backend servers are alive.
    virtual void registryRecovered(framework::TimePoint now) = 0;

    /// Removes all backend servers but \p servers; for a snapshot after missed changes.
    virtual void retainOnly(const std::set<framework::BackendServerId> &servers,
                            framework::TimePoint now) = 0;

    /// \param zones availability zones that operators have taken out of service
    virtual void setZonesOut(std::set<framework::AvailabilityZoneId> zones) = 0;

    /// The backend server says in an answer that it leaves; it admits no new work until it has
    /// started again, whatever its registration says, and whether it is registered now or not.
    /// \param server the start of the server to which the call was sent
    virtual void noteLeaving(const ServerLifetime &server) = 0;
};

} // namespace lavendertally::membership
