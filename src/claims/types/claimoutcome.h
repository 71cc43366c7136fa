#pragma once

namespace lavendertally::claims {

/// Outcome of an attempt to claim a stage.
enum class ClaimOutcome
{
    /// This process holds the claim; it alone may run the stage, once.
    Granted,
    /// The stage has already run; ClaimAnswer::result holds its result if it was kept.
    AlreadyDone,
    /// Another claim holds the key and its result is not known; the stage may have run.
    HeldElsewhere,
    /// The claim could not be confirmed before the deadline, because the log service refused it or
    /// did not answer in time. The stage has not run on behalf of this attempt and will not.
    Unavailable,
    /// The request was issued longer ago than ClaimSettings::claimWindow, or further in the future
    /// than clockSkew allows.
    TooOld,
};

} // namespace lavendertally::claims
