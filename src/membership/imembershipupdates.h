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

/// Takes in what a process learns about hosts.
class IMembershipUpdates
{
public:
    virtual ~IMembershipUpdates() = default;

    /// Takes in one answer of the host list.
    ///
    /// Rows that say `leaving` count at once. Hosts that are missing from the answer are dropped,
    /// unless the answer is so much shorter than what is known that it may be truncated; such
    /// answers count in full only after MembershipLimits::shortListTime and shortListCount.
    virtual void setHostList(const std::vector<HostEntry> &entries, framework::TimePoint now) = 0;

    /// Takes over zones and hosts that operators have taken out. An older view is ignored.
    virtual void setOutOfService(const configuration::ConfigurationView &view,
                                 framework::TimePoint now) = 0;

    /// Notes that a host process refused work with Leaving, ZoneOut or HostOut; other reasons
    /// change nothing.
    /// \param revision configuration revision that the refusal carried
    virtual void recordRefusal(const framework::HostId &host, protocol::RefusalReason reason,
                               framework::LogOffset revision, framework::TimePoint now) = 0;

    /// Ends what its time bound has ended. Called about once a second.
    virtual void expireHolds(framework::TimePoint now) = 0;
};

} // namespace lavendertally::membership
