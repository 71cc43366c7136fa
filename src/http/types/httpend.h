#pragma once

namespace lavendertally::http {

/// How a call of a client ended.
enum class HttpEnd
{
    /// The whole response is here.
    Complete,
    /// No connection stood, so the server has seen nothing of it.
    NotSent,
    /// The client may not open another connection, and none became free in time; the server has
    /// seen nothing of the call.
    NoConnection,
    /// The server ended a new connection before a byte of the request was written, so it has seen
    /// nothing of it; it probably has as many connections as it accepts.
    Rejected,
    /// The server reset a new connection right after it was established, before a byte of an
    /// answer; it probably has as many connections as it accepts, but may have acted.
    RejectedAfterSend,
    /// The connection broke after it stood; the server may have acted.
    Broken,
    /// What the server sent is no response in HTTP; it may have acted.
    Malformed,
    /// The time ran out after the connection stood; the server may have acted.
    TimedOut,
};

/// \return whether the server has seen nothing of a call that ended so
constexpr bool isUnsent(HttpEnd end)
{
    return end == HttpEnd::NotSent || end == HttpEnd::NoConnection || end == HttpEnd::Rejected;
}

} // namespace lavendertally::http
