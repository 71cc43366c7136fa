#pragma once

namespace lavendertally::http {

/// How a call of a client ended.
enum class HttpEnd
{
    /// The whole response is here.
    Complete,
    /// No connection stood, so the server has seen nothing of it.
    NotSent,
    /// The connection broke after it stood; the server may have acted.
    Broken,
    /// The time ran out after the connection stood; the server may have acted.
    TimedOut,
};

} // namespace lavendertally::http
