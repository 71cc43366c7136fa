#pragma once

#include "framework/types/milliseconds.h"
#include "protocol/types/rolloutstep.h"

#include <cstdint>

namespace lavendertally::rollout {

/// What became of a generated case.
struct GeneratedOutcome
{
    protocol::RolloutStep step = protocol::RolloutStep::Waiting;
    /// When the rollout was completed or rolled back; the duration if it was not.
    framework::Milliseconds decidedAt;
    /// Requests until the deadline.
    std::uint64_t sent = 0;
    std::uint64_t sentToTarget = 0;
    /// Answers of the new version until then that failed or were slow because it is bad.
    std::uint64_t badAnswers = 0;
    /// When the last request was sent to the new version, and when its 50th bad answer came.
    framework::Milliseconds lastToTarget;
    framework::Milliseconds fiftiethBad;

    double exposure() const
    {
        return sent == 0 ? 0.0 : static_cast<double>(sentToTarget) / static_cast<double>(sent);
    }
};

} // namespace lavendertally::rollout
