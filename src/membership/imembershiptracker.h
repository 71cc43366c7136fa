#pragma once

#include "membership/imembership.h"
#include "membership/imembershipupdates.h"
#include "membership/types/hoststatus.h"

#include <optional>
#include <vector>

namespace lavendertally::membership {

/// Membership of one process, with its updates and the state behind its decisions.
class IMembershipTracker : public IMembership, public IMembershipUpdates
{
public:
    /// \return all known hosts with the reason why they may not receive work, in order of their id
    virtual std::vector<HostStatus> hosts() const = 0;

    /// \return host list row of \p host, or nothing when the host is unknown
    virtual std::optional<HostEntry> find(const framework::HostId &host) const = 0;

    /// \return whether \p host is known and excluded as leaving
    virtual bool isLeaving(const framework::HostId &host) const = 0;
};

} // namespace lavendertally::membership
