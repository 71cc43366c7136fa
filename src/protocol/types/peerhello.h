#pragma once

#include "framework/types/ids.h"

namespace lavendertally::protocol {

/// First message on a link between two daemons, sent by the one that opened it.
struct PeerHello
{
    /// Name under which the receiver keeps the link: the sender's id, with a suffix on a link to a
    /// seed peer.
    framework::DaemonId daemon;
    /// Whether the sender takes crash reports.
    bool takesCrashReports = false;
    /// Whether the sender takes rate limits and permits.
    bool takesRateLimits = false;
    /// Whether the sender takes reports and steps of rollouts.
    bool takesRollouts = false;
    /// Whether the sender takes requests for connection leases, and their grants.
    bool takesConnectionLeases = false;

    bool operator==(const PeerHello &) const = default;
};

} // namespace lavendertally::protocol
