#pragma once

namespace lavendertally::claims {

enum class ClaimError
{
    /// A record of a claims stream does not have the known form; it has no effect for any reader.
    MalformedRecord,
    /// A record cannot be written as text, because an id or result is not UTF-8.
    NotText,
};

} // namespace lavendertally::claims
