#pragma once

namespace lavendertally::claims {

/// What became of an attempt to claim a stage.
enum class ClaimOutcome
{
    /// This process holds the claim and alone may run the stage, once.
    Granted,
    /// It ran before; the result stands beside.
    AlreadyDone,
    /// Another attempt holds the claim and has not said how it ended; it may have run.
    HeldElsewhere,
    /// The log service did not answer in time. No claim of this attempt will be used, so the
    /// stage did not run on its behalf.
    Unavailable,
    /// The request is older than the time for which claims are kept.
    TooOld,
};

} // namespace lavendertally::claims
