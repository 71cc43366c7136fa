#pragma once

namespace lavendertally::standins {

/// What a stand-in does wrong on purpose.
enum class FaultMode
{
    None,
    /// Answers 503 and does not act.
    Down,
    /// Closes the connection and does not act.
    Refuse,
    /// Acts and answers after a delay.
    Slow,
    /// Neither acts nor answers; acts on the held calls once another mode is set.
    Frozen,
    /// Acts, then closes the connection.
    LostAnswer,
    /// Acts twice or sends each part twice.
    Doubled,
    /// Acts on two calls, or sends what it sends, in another order.
    Reordered,
    /// Answers from old state.
    Lagging,
    /// Cuts the answer.
    Truncated,
    /// Turns cold.
    Cold,
};

} // namespace lavendertally::standins
