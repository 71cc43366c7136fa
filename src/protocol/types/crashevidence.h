#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <cstddef>

namespace lavendertally::protocol {

/// An attempt with a certain prompt part was lost when its backend server crashed, before its
/// answer had begun. Evidence of one part and one crash is the same wherever it was observed;
/// merging keeps the greater ages and every flag that is set.
struct CrashEvidence
{
    /// Most evidence that one message between entries carries.
    static constexpr std::size_t MaxInControlMessage = 32;

    framework::PromptPartId part;
    framework::CrashId crash;
    /// Time since the attempt was sent.
    framework::Milliseconds attemptAge;
    /// Time since the backend server crashed.
    framework::Milliseconds crashAge;
    /// Some daemon saw an answer with this part begin, not long before the crash.
    bool isKnownGood = false;
    /// Some daemon saw an answer with this part begin after the attempt was sent.
    bool isRefuted = false;

    bool operator==(const CrashEvidence &) const = default;
};

} // namespace lavendertally::protocol
