#pragma once

namespace lavendertally::platform {

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
    /// Refused without effect, as by a 429.
    RateLimited,
};

} // namespace lavendertally::platform
