#pragma once

namespace lavendertally::infrastructure {

enum class InfrastructureError
{
    /// The service refused or never got the call; it has had no effect.
    Unavailable,
    /// The answer was lost; the call may have taken effect.
    AnswerLost,
    /// The answer does not have the published form; an append may have taken effect.
    MalformedAnswer,
    /// Records before the first one kept were asked for. A FirstKept travels beside it.
    Expired,
    /// The service asks to slow down; the call has had no effect.
    RateLimited,
    /// No answer to a read came in time.
    TimedOut,
};

/// \return whether an append that ended with \p error may have taken effect
constexpr bool mayHaveTakenEffect(InfrastructureError error)
{
    return error == InfrastructureError::AnswerLost || error == InfrastructureError::MalformedAnswer
        || error == InfrastructureError::TimedOut;
}

} // namespace lavendertally::infrastructure
