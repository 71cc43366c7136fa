#pragma once

namespace lavendertally::claims {

/// Errors of IClaimRecordCodec.
enum class ClaimError
{
    /// The text is not a valid claim record; every reader ignores it.
    MalformedRecord,
    /// The record cannot be encoded because an id or the result is not valid UTF-8.
    InvalidUtf8,
};

} // namespace lavendertally::claims
