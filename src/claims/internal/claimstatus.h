#pragma once

namespace lavendertally::claims {

/// Status of one claim according to the records read so far.
enum class ClaimStatus
{
    /// No valid claim record and no release of it has been read, or its key has been removed.
    NotRead,
    /// It holds the key and the stage is not done.
    Holds,
    /// The stage has run, under this claim or another.
    Done,
    /// Another claim holds the key.
    HeldElsewhere,
    /// No claim holds the key. This claim was rejected or released and cannot get it any more.
    Free,
};

} // namespace lavendertally::claims
