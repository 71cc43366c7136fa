#pragma once

#include "membership/ibackendservers.h"
#include "membership/ibackendserverupdates.h"

namespace lavendertally::membership {

/// Keeps the registered backend servers and tells which of them may receive new work.
class IBackendServerTracker : public IBackendServers, public IBackendServerUpdates
{
public:
    /// Drops entries whose registration lapsed while the registry was unavailable and was not
    /// renewed within the grace period. Call it periodically.
    virtual void expire(framework::TimePoint now) = 0;

    /// \return whether any registration data has been received yet
    virtual bool hasSynced() const = 0;
};

} // namespace lavendertally::membership
