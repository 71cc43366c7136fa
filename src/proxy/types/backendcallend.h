#pragma once

namespace lavendertally::proxy {

/// How a call to a backend server ended on the connection.
enum class BackendCallEnd
{
    /// The complete response has arrived.
    Complete,
    /// No part of the request reached the backend server.
    NotSent,
    /// This gateway's share of the backend server's connections was in use, and none became free in
    /// time; no part of the request was sent.
    NoConnection,
    /// The backend server ended the connection before a part of the request was sent; it probably
    /// has as many connections as it accepts.
    Rejected,
    /// The backend server reset a new connection right away; it probably has as many as it accepts,
    /// but the request may have run.
    RejectedAfterSend,
    /// The response is incomplete or missing; the request may have run.
    Broken,
    /// What has arrived is no response in the protocol; the request may have run.
    Malformed,
};

/// \return whether no part of the request reached the backend server
constexpr bool isUnsent(BackendCallEnd end)
{
    return end == BackendCallEnd::NotSent || end == BackendCallEnd::NoConnection
        || end == BackendCallEnd::Rejected;
}

} // namespace lavendertally::proxy
