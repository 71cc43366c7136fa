#pragma once

#include "framework/types/milliseconds.h"

namespace lavendertally::replication {

/// Times of the exchange of state among daemons.
struct ExchangeLimits
{
    /// Time between two looks at the age of the state; also between two queries for one topic.
    framework::Milliseconds interval{500};
    /// A query without an answer for so long is given up; a few round trips between zones.
    framework::Milliseconds answerTimeout{1500};
    /// How long a daemon that starts waits for the store before it asks its seed peers.
    framework::Milliseconds startPatience{500};
};

} // namespace lavendertally::replication
