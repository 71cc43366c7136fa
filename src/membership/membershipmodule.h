#pragma once

#include "framework/types/ids.h"
#include "membership/types/membershiplimits.h"

#include <memory>

namespace lavendertally::framework {
class ILogger;
}

namespace lavendertally::membership {

class IAdmissionGate;
class IBackendServerTracker;
class IMembershipTracker;

/// Factory of the components that decide which hosts and backend servers may receive new work.
class MembershipModule
{
public:
    static std::unique_ptr<IMembershipTracker> makeMembership(const MembershipLimits &limits = {});

    /// \param logger logs each backend server that is added, changed or removed
    static std::unique_ptr<IBackendServerTracker>
    makeBackendServerTracker(framework::ILogger &logger);

    /// \param host host on which this process runs
    /// \param zone availability zone of that host
    static std::unique_ptr<IAdmissionGate>
    makeAdmissionGate(const framework::HostId &host, const framework::AvailabilityZoneId &zone);
};

} // namespace lavendertally::membership
