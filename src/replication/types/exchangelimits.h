#pragma once

#include "framework/types/milliseconds.h"

#include <cstddef>

namespace lavendertally::replication {

/// Parameters of TopicExchange.
struct ExchangeLimits
{
    /// Number of daemons that read the store for all; more than one, so that one may fail.
    std::size_t storeReaderCount = 2;
    /// Time between two checks of the age of the topics; equal to the ping interval of the links
    /// between daemons.
    framework::Milliseconds checkInterval{200};
    /// A query without an answer may be repeated after this time: a few round trips between
    /// availability zones.
    framework::Milliseconds queryTimeout{1500};
    /// How long a daemon that starts waits for the store before it asks its seed peers.
    framework::Milliseconds seedDelay{500};
    /// Least time for which a daemon reads the store once it has begun to, so that it does not
    /// start and stop with each late pong.
    framework::Milliseconds minReadTime{2000};
    /// While peers answer and none of them has read the store recently, this daemon waits longer
    /// before it reads the store itself, by this much for each reachable daemon ahead of it that
    /// could do so for all. Otherwise all daemons would call a store that is away at once.
    framework::Milliseconds fallbackStep{15};
    framework::Milliseconds maxFallbackDelay{1500};
    /// A peer answers as long as its last pong is no older than this; a few pings.
    framework::Milliseconds peerSilence{1000};
    /// How long after the end of a store outage the daemon announces it to its peers. Longer than
    /// membership keeps entries that expired during the outage.
    framework::Milliseconds recoveryNoticeTime{3000};
    /// Recoveries that two peers observed less than this apart are one and the same.
    framework::Milliseconds recoveryMergeWindow{1500};
    /// An outage affected only the peer if this daemon's state was confirmed this much later than
    /// the peer's. Exceeds the difference between confirmations that network delay causes.
    framework::Milliseconds peerOutageMargin{300};
};

} // namespace lavendertally::replication
