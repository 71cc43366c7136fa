#pragma once

#include "membership/ibackendservers.h"
#include "membership/ibackendserverupdates.h"

namespace lavendertally::membership {

/// Keeps the backend servers known to this process.
class IBackendServerTracker : public IBackendServers, public IBackendServerUpdates
{
public:
    /// Drops entries that lapsed and did not come back; call it often.
    virtual void expire(framework::TimePoint now) = 0;

    /// \return whether the registrations have been read once
    virtual bool hasSynced() const = 0;
};

} // namespace lavendertally::membership
