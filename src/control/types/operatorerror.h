#pragma once

namespace lavendertally::control {

enum class OperatorError
{
    /// The log service does not answer and the change has had no effect.
    Unavailable,
    /// The change may be on the log; ask again under the same operation id.
    OutcomeUnknown,
    /// The change cannot be written as a control record.
    InvalidChange,
};

} // namespace lavendertally::control
