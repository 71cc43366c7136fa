#pragma once

namespace lavendertally::infrastructure {

/// What goes wrong with the next appends of a FakeLogService.
enum class FakeLogFault
{
    None,
    /// Refused without effect, as by a 503.
    Unavailable,
    /// Takes effect; the caller gets AnswerLost.
    AnswerLost,
    /// Takes effect twice; the caller gets the second offset.
    Doubled,
    /// Takes effect twice; the caller gets AnswerLost.
    DoubledAnswerLost,
    /// Takes effect; the caller gets MalformedAnswer.
    MalformedAnswer,
    /// Takes effect once a later append has.
    Reordered,
    /// Refused without effect, as by a 429.
    RateLimited,
};

} // namespace lavendertally::infrastructure
