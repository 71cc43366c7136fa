#pragma once

#include "framework/types/milliseconds.h"

#include <cstddef>

namespace lavendertally::replication {

/// Parameters of the exchange of state among daemons.
struct ExchangeLimits
{
    /// Daemons that read the store for all, so that one of them may be lost.
    std::size_t storeReaders = 2;
    /// Time between two looks at the age of the state; that of the pings between daemons.
    framework::Milliseconds interval{200};
    /// A query without an answer for so long is given up; a few round trips between zones.
    framework::Milliseconds answerTimeout{1500};
    /// How long a daemon that starts waits for the store before it asks its seed peers.
    framework::Milliseconds startPatience{500};
    /// Least time for which a daemon reads the store once it has begun to, so that it does not
    /// begin and end with each late pong.
    framework::Milliseconds minActive{2000};
    /// Time for which peers are told that the topic could not be read before; more than that for
    /// which membership keeps entries that lapsed meanwhile.
    framework::Milliseconds returnNotice{3000};
    /// Returns of the topic that two peers saw less than this apart are one.
    framework::Milliseconds returnSpread{1500};
    /// A peer was away alone if this daemon's state was confirmed this much later than the peer's;
    /// more than confirmations differ by time on the way.
    framework::Milliseconds aloneMargin{300};
};

} // namespace lavendertally::replication
