#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::claims {

/// All processes that share a log service use the same claimWindow, clockSkew and partitions, and
/// these change only when no claim is younger than the window. The log service keeps records for
/// longer than claimWindow plus twice clockSkew plus the longest delay of an append.
struct ClaimSettings
{
    /// How long after it was first issued a request may be claimed.
    framework::Milliseconds claimWindow{600'000};
    /// Greatest difference between a process's wall clock and true time.
    framework::Milliseconds clockSkew{5'000};
    /// Streams over which keys are spread. A claim reads all that its stream keeps, so many streams
    /// make reading cheap, and few let more claims share one append.
    std::uint32_t partitions = 64;

    /// How long a claim waits for others to share its append.
    framework::Milliseconds groupDelay{2};
    std::uint32_t maxRecordsPerAppend = 256;
    std::uint32_t maxRecordsPerRead = 1024;
    /// How long the log service may take for one call.
    framework::Milliseconds callTimeout{1'000};
    /// How long one read waits for a first record.
    framework::Milliseconds readWait{100};
    framework::Milliseconds minBackoff{20};
    framework::Milliseconds maxBackoff{2'000};
    /// How long a claim that came second waits for the first one's result.
    framework::Milliseconds maxHolderWait{2'000};
    /// Time before the deadline at which such a claim is answered at the latest.
    framework::Milliseconds answerMargin{50};
    /// Larger results are not kept.
    framework::Bytes maxResult{64 * 1024};
};

} // namespace lavendertally::claims
