#pragma once

#include "framework/types/ids.h"
#include "membership/types/membershiplimits.h"

#include <memory>

namespace lavendertally::framework {
class ILogger;
}

namespace lavendertally::membership {

class IBackendServerTracker;
class IMembershipTracker;
class IAdmissionGate;

/// Makes the decisions on who may receive new work.
class MembershipModule
{
public:
    static std::unique_ptr<IMembershipTracker> makeMembership(const MembershipLimits &limits = {});

    /// \param logger hears of each backend server that comes or goes
    static std::unique_ptr<IBackendServerTracker>
    makeBackendServerTracker(framework::ILogger &logger);

    /// \param host host on which this process runs
    static std::unique_ptr<IAdmissionGate>
    makeAdmissionGate(const framework::HostId &host, const framework::AvailabilityZoneId &zone);
};

} // namespace lavendertally::membership
