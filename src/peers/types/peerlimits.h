#pragma once

#include "framework/types/milliseconds.h"

#include <cstddef>

namespace lavendertally::peers {

/// Intervals and timeouts of the links between daemons.
struct PeerLimits
{
    framework::Milliseconds pingInterval{200};
    /// An outbound link on which nothing arrived for so long is lost; spans a few pings.
    framework::Milliseconds pingTimeout{700};
    framework::Milliseconds connectTimeout{500};
    /// Time within which a new peer must answer before it counts as unreachable; daemons that start
    /// together need it.
    framework::Milliseconds startupGrace{600};
    /// Time from the loss of a link to the next attempt to connect.
    framework::Milliseconds reconnectDelay{250};
    /// How long a link that was lost must be established again before its peer counts as accepting
    /// jobs.
    framework::Milliseconds probation{1000};
    /// How long a link to a daemon of the ranking is kept after the daemon is no longer needed; the
    /// jobs that it coordinates end meanwhile.
    framework::Milliseconds unneededLinkTime{3000};
    /// Largest number of reachable daemons of the ranking that are linked while too few of them
    /// take jobs or none is informed, as when all of them start.
    std::size_t maxReachableLinks = 8;
    /// An inbound link on which nothing arrived for so long is closed.
    framework::Milliseconds inboundIdleTimeout{3000};
    /// Inbound links whose daemon has not said its name; the oldest of more is closed.
    std::size_t maxUnnamedLinks = 64;
};

} // namespace lavendertally::peers
