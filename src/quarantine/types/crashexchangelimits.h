#pragma once

#include "framework/types/milliseconds.h"

#include <cstddef>

namespace lavendertally::quarantine {

/// Limits of what daemons tell each other of crashes.
struct CrashExchangeLimits
{
    /// Changes are gathered for this long and told together.
    framework::Milliseconds gatherTime{50};
    /// Most changes that are told together; the newest crashes go first.
    std::size_t maxNews = 50;
    /// After a report, the next one waits for this long for each entry told; bounds the traffic.
    framework::Milliseconds entryTime{20};
    /// A daemon sends all that it knows to a peer whose fingerprint has differed for this long, and
    /// for up to \c differenceSpread longer, so that not all daemons do so at once.
    framework::Milliseconds differenceTime{400};
    framework::Milliseconds differenceSpread{600};
    /// Least time between two reports of all that is known to one peer. It doubles, up to
    /// \c maxCompletePause, while they do not make the fingerprints equal.
    framework::Milliseconds completePause{2000};
    framework::Milliseconds maxCompletePause{64000};
    /// For this long after its start a daemon does not pass on what it learns: those that tell it
    /// have told the others before.
    framework::Milliseconds startTime{2000};
    /// A fingerprint is used for this long if no evidence changes.
    framework::Milliseconds fingerprintTime{100};
};

} // namespace lavendertally::quarantine
