#pragma once

namespace lavendertally::platform {

enum class DecodeError
{
    /// Not what the platform's protocol promises; an ErrorContext names the member.
    Malformed,
};

} // namespace lavendertally::platform
