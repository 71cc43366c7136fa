#include "membership/membershipmodule.h"

#include "membership/internal/admissiongate.h"
#include "membership/internal/backendservertracker.h"
#include "membership/internal/membership.h"

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

std::unique_ptr<IAdmissionGate>
MembershipModule::makeAdmissionGate(const framework::HostId &host,
                                    const framework::AvailabilityZoneId &zone)
{
    return std::make_unique<AdmissionGate>(host, zone);
}

} // namespace lavendertally::membership
