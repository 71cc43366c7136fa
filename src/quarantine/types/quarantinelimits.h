#pragma once

#include "framework/types/milliseconds.h"

#include <cstddef>
#include <cstdint>

namespace lavendertally::quarantine {

/// Limits of the quarantine of prompt parts.
struct QuarantineLimits
{
    /// Crashes, one after the other and without an answer between them, that blame a part.
    std::uint32_t crashesToBlame = 2;
    /// The same for a part with which answers had begun before the first of them.
    std::uint32_t crashesToBlameKnownGood = 3;
    /// A suspicion without further evidence ends after this time.
    framework::Milliseconds suspicionTime{30000};
    /// Crashes with this time between them do not add up.
    framework::Milliseconds evidenceTime{600000};
    /// A part that was blamed for the first time is refused for this long after its last crash, at
    /// some daemons for up to as long again. After that it is only suspected, and blamed anew by
    /// one more crash.
    framework::Milliseconds firstBlameTime{8000};
    /// The same for a part that was blamed anew; doubles each time.
    framework::Milliseconds blameTime{120000};
    std::uint32_t maxBlameDoublings = 4;
    /// An answer speaks for its parts for this long.
    framework::Milliseconds goodTime{60000};
    /// Retry-after time of a request with a suspected part that is on trial already.
    framework::Milliseconds trialRetryAfter{500};
    /// Most evidence that is kept; the oldest is dropped first.
    std::size_t maxEvidence = 256;
    /// Most parts of which the last answer is kept; those that were used longest ago are dropped
    /// first.
    std::size_t maxGoodParts = 8192;

    /// \return age at which evidence is of no use any more
    framework::Milliseconds maxEvidenceAge() const
    {
        constexpr std::int64_t RefusalAndProbation = 3;
        return blameTime * (std::int64_t{1} << maxBlameDoublings) * RefusalAndProbation;
    }
};

} // namespace lavendertally::quarantine
