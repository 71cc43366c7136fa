#pragma once

namespace lavendertally::platform {

enum class PlatformError
{
    /// The service refused or never got the call; it has had no effect.
    Unavailable,
    /// The answer was lost; the call may have taken effect.
    AnswerLost,
    /// The answer does not have the published form.
    MalformedAnswer,
    /// Records before the first one kept were asked for.
    Expired,
    /// The service asks to slow down.
    RateLimited,
    TimedOut,
};

} // namespace lavendertally::platform
