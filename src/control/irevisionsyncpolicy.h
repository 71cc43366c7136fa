#pragma once

#include "control/types/logreadmode.h"
#include "framework/types/endpoint.h"
#include "framework/types/timepoint.h"
#include "membership/types/hostentry.h"

#include <optional>
#include <vector>

namespace lavendertally::control {

/// Decides which peers a process queries for newer configuration, and when.
class IRevisionSyncPolicy
{
public:
    virtual ~IRevisionSyncPolicy() = default;

    /// \param entries entry hosts of the host list; this process's own one is left out
    virtual void setEntries(const std::vector<membership::HostEntry> &entries) = 0;

    /// \return peer to query now, or nothing when none is due or known
    virtual std::optional<framework::Endpoint> nextPeer(framework::TimePoint now) = 0;

    /// \return when nextPeer() is to be called again
    virtual framework::TimePoint nextDue() const = 0;

    virtual void noteAnswer(const framework::Endpoint &peer, framework::TimePoint now) = 0;
    virtual void noteFailure(const framework::Endpoint &peer, framework::TimePoint now) = 0;

    /// Records that \p peer has a newer revision; it is queried at once.
    virtual void noteNewerRevision(const framework::Endpoint &peer) = 0;

    /// Records that an unknown peer has a newer revision; some known peer is queried at once.
    virtual void noteNewerRevisionElsewhere() = 0;

    /// Records that the own revision has advanced. Some peers are queried at once: the query
    /// carries the new revision, so that they ask back.
    virtual void noteAdvance() = 0;

    /// \return how this process reads the log; only entries do
    virtual LogReadMode logReadMode(framework::TimePoint now) const = 0;
};

} // namespace lavendertally::control
