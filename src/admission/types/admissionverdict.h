#pragma once

namespace lavendertally::admission {

/// Result of an admission decision.
enum class AdmissionVerdict
{
    /// The item starts now.
    Run,
    /// The item is queued; takeDecisions() returns its final decision unless it is cancelled first.
    Wait,
    /// The item has not run and will not; AdmissionDecision::reason says why.
    Refuse,
};

} // namespace lavendertally::admission
