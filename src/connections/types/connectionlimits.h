#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::connections {

/// Constants of the shares of connections.
struct ConnectionLimits
{
    /// A share rises only after this time, while one that falls does so at once: longer than it
    /// takes all gateways in touch to learn of a change of the registrations (4 s between two reads
    /// of the store, or a peer's state of at most 6 s).
    framework::Milliseconds raiseDelay{10000};
    /// A closed connection counts as held for this long, since the server may not have seen the
    /// close yet.
    framework::Milliseconds closeHold{100};
    /// No new connection is opened for this long to a server that rejected one.
    framework::Milliseconds rejectionPause{200};
    /// Calls that may wait for one connection of the share: eight calls of a plain service take
    /// about the 250 ms for which a call waits.
    std::uint32_t waitersPerConnection = 8;
    /// For how long a lent connection may be used for new calls, from when it was asked for.
    framework::Milliseconds leaseTime{2000};
    /// Time after which a call that was begun on a lent connection has ended: longer than the time
    /// limits of routes.
    framework::Milliseconds maxCallTime{30000};
    /// Least time between two requests for leases of a gateway, and between two that only renew.
    framework::Milliseconds minAskInterval{100};
    framework::Milliseconds renewInterval{1000};
    /// A request for leases that is not answered by then is given up.
    framework::Milliseconds answerTimeout{500};
    /// Least time between two log lines about one service.
    framework::Milliseconds logInterval{10000};
    /// Servers known above which those without connections are forgotten.
    std::uint32_t maxIdleServers = 4096;
};

} // namespace lavendertally::connections
