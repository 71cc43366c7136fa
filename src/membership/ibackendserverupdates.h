#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"

#include <optional>
#include <set>

namespace lavendertally::membership {

struct BackendServerEntry;

/// Receives what the platform says about backend servers and availability zones.
class IBackendServerUpdates
{
public:
    virtual ~IBackendServerUpdates() = default;

    /// A backend server registered, changed, or is still there.
    /// \return whether its entry changed
    virtual bool put(const BackendServerEntry &entry) = 0;

    /// The entry of a backend server is gone.
    virtual void remove(const framework::BackendServerId &server, framework::TimePoint now) = 0;

    /// The registrations were away until \p now: entries that went missing meanwhile may have
    /// lapsed and are kept for a while.
    virtual void registryRecovered(framework::TimePoint now) = 0;

    /// All registrations, after changes were missed.
    virtual void retainOnly(const std::set<framework::BackendServerId> &servers,
                            framework::TimePoint now) = 0;

    virtual void setZonesOut(std::set<framework::AvailabilityZoneId> zones) = 0;
};

} // namespace lavendertally::membership
