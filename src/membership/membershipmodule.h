#pragma once

#include "framework/types/ids.h"
#include "membership/types/membershiplimits.h"

#include <memory>

namespace lavendertally::membership {

class IMembershipTracker;
class IWorkGate;

/// Makes the decisions on who may receive new work.
class MembershipModule
{
public:
    static std::unique_ptr<IMembershipTracker> makeMembership(const MembershipLimits &limits = {});

    /// \param host host on which this process runs
    static std::unique_ptr<IWorkGate> makeWorkGate(const framework::HostId &host,
                                                   const framework::AvailabilityZoneId &zone);
};

} // namespace lavendertally::membership
