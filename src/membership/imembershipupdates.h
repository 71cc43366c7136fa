#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "membership/types/hostentry.h"
#include "protocol/types/refusalreason.h"

#include <vector>

namespace lavendertally::configuration {
struct ConfigurationView;
}

namespace lavendertally::membership {

/// Receives what a process learns about hosts.
class IMembershipUpdates
{
public:
    virtual ~IMembershipUpdates() = default;

    /// Applies one response of the host list.
    ///
    /// Rows with the state `leaving` apply at once. Hosts missing from the response are dropped,
    /// unless it has so many fewer rows than hosts are known that it may be truncated; hosts
    /// missing from such responses are dropped only after MembershipLimits::shortListTime and
    /// shortListCount.
    virtual void setHostList(const std::vector<HostEntry> &entries, framework::TimePoint now) = 0;

    /// Applies the zones and hosts that operators have taken out of service. A view older than the
    /// last one is ignored.
    virtual void setOutOfService(const configuration::ConfigurationView &view,
                                 framework::TimePoint now) = 0;

    /// Excludes a host, or its zone, for a limited time after its process refused work with
    /// Leaving, ZoneOut or HostOut; other reasons have no effect.
    /// \param revision configuration revision of the host process at the refusal
    virtual void recordRefusal(const framework::HostId &host, protocol::RefusalReason reason,
                               framework::LogOffset revision, framework::TimePoint now) = 0;

    /// Ends exclusions whose time has passed. Called about once a second.
    virtual void expireHolds(framework::TimePoint now) = 0;
};

} // namespace lavendertally::membership
