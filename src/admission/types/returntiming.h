#pragma once

namespace lavendertally::admission {

/// How a request relates to a refusal that named a time to return.
enum class ReturnTiming
{
    /// The request is not recognised as a return.
    None,
    OnTime,
    Early,
    Late,
};

} // namespace lavendertally::admission
