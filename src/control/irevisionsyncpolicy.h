#pragma once

#include "control/types/logreadmode.h"
#include "framework/types/endpoint.h"
#include "framework/types/timepoint.h"
#include "membership/types/hostentry.h"

#include <optional>
#include <vector>

namespace lavendertally::control {

/// Decides whom a process asks for newer configuration, and when.
class IRevisionSyncPolicy
{
public:
    virtual ~IRevisionSyncPolicy() = default;

    /// \param entries entry hosts of the host list; this process's own one is left out
    virtual void setEntries(const std::vector<membership::HostEntry> &entries) = 0;

    /// \return peer to ask now, or nothing when none is due or known
    virtual std::optional<framework::Endpoint> nextPeer(framework::TimePoint now) = 0;

    /// \return when nextPeer() is to be called again
    virtual framework::TimePoint nextDue() const = 0;

    virtual void noteAnswer(const framework::Endpoint &peer, framework::TimePoint now) = 0;
    virtual void noteFailure(const framework::Endpoint &peer, framework::TimePoint now) = 0;

    /// Notes that \p peer knows a newer revision; it is asked at once.
    virtual void noteNewer(const framework::Endpoint &peer) = 0;

    /// Notes that an unknown peer has a newer revision; some peer is asked at once.
    virtual void noteNewerSomewhere() = 0;

    /// Notes that the own revision has advanced; some peers are asked at once, which tells them.
    virtual void noteAdvance() = 0;

    virtual LogReadMode logReadMode(framework::TimePoint now) const = 0;
};

} // namespace lavendertally::control
