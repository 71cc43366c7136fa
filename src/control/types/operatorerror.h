#pragma once

namespace lavendertally::control {

enum class OperatorError
{
    /// The log service is unavailable or rejected the append by its rate limit. The change had no
    /// effect.
    Unavailable,
    /// The change may be in the log; retry under the same operation id.
    OutcomeUnknown,
    /// The change cannot be encoded as a control record.
    InvalidChange,
};

} // namespace lavendertally::control
