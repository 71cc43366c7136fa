#pragma once

namespace lavendertally::claims {

/// What the records so far say about one claim.
enum class ClaimVerdict
{
    /// Its record has not been read.
    Unseen,
    /// It holds the key.
    Holds,
    /// The stage was run under some claim.
    Done,
    /// Another claim holds the key.
    HeldByOther,
    /// No claim holds the key; this one has had its turn.
    Free,
};

} // namespace lavendertally::claims
