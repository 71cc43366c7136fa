#pragma once

#include "membership/imembership.h"
#include "membership/imembershipupdates.h"
#include "membership/types/hoststatus.h"

#include <optional>
#include <vector>

namespace lavendertally::membership {

/// Both sides of the membership of one process.
class IMembershipTracker : public IMembership, public IMembershipUpdates
{
public:
    /// \return all known hosts and why they may not receive work, in order of their id
    virtual std::vector<HostStatus> hosts() const = 0;

    /// \return row of \p host, or nothing when it is not known
    virtual std::optional<HostEntry> find(const framework::HostId &host) const = 0;

    /// \return whether \p host has been seen leaving
    virtual bool isLeaving(const framework::HostId &host) const = 0;
};

} // namespace lavendertally::membership
