#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::claims {

/// Settings of the claim service. All processes that share a log service must use the same
/// claimWindow, clockSkew and partitions, and may change them only while no claim is younger than
/// claimWindow. The log service must retain records for longer than claimWindow, plus twice
/// clockSkew, plus the longest delay of an append.
struct ClaimSettings
{
    /// How long after its first issue a request may be claimed.
    framework::Milliseconds claimWindow{600'000};
    /// Maximum difference between the wall clock of a process and true time.
    framework::Milliseconds clockSkew{5'000};
    /// Number of streams among which keys are hashed. A claim reads all retained records of its
    /// stream, so more streams make reads cheaper, while fewer let more claims share one append.
    std::uint32_t partitions = 64;

    /// How long a record waits for others, so that they share one append.
    framework::Milliseconds groupDelay{2};
    std::uint32_t maxRecordsPerAppend = 256;
    std::uint32_t maxRecordsPerRead = 1024;
    /// Timeout of one call to the log service.
    framework::Milliseconds callTimeout{1'000};
    /// How long one read waits at the log service for a first record (long poll).
    framework::Milliseconds readWait{100};
    framework::Milliseconds minBackoff{20};
    framework::Milliseconds maxBackoff{2'000};
    /// How long a claim waits for the result if another claim holds the key.
    framework::Milliseconds maxHolderWait{2'000};
    /// Such a claim is answered at least this long before its deadline, so that the answer arrives
    /// in time.
    framework::Milliseconds answerMargin{50};
    /// Larger results are not kept on the log.
    framework::Bytes maxResult{64 * 1024};
};

} // namespace lavendertally::claims
