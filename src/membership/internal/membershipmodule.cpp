#include "membership/membershipmodule.h"

#include "membership/internal/backendservertracker.h"
#include "membership/internal/membership.h"
#include "membership/internal/workgate.h"

namespace lavendertally::membership {

std::unique_ptr<IMembershipTracker> MembershipModule::makeMembership(const MembershipLimits &limits)
{
    return std::make_unique<Membership>(limits);
}

std::unique_ptr<IBackendServerTracker>
MembershipModule::makeBackendServerTracker(framework::ILogger &logger)
{
    return std::make_unique<BackendServerTracker>(logger);
}

std::unique_ptr<IWorkGate> MembershipModule::makeWorkGate(const framework::HostId &host,
                                                          const framework::AvailabilityZoneId &zone)
{
    return std::make_unique<WorkGate>(host, zone);
}

} // namespace lavendertally::membership
