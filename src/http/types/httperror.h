#pragma once

namespace lavendertally::http {

enum class HttpError
{
    /// The address cannot be bound.
    ListenFailed,
};

} // namespace lavendertally::http
