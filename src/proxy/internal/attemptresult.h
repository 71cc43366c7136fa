#pragma once

namespace lavendertally::proxy {

/// How an attempt at a backend server ended, as far as the next step depends on it.
enum class AttemptResult
{
    /// No part of the request reached the backend server.
    NotSent,
    /// The backend server states that it did not run the request.
    Refused,
    /// The whole answer has been written to the client.
    Answered,
    /// The whole response is kept and can be forwarded.
    Received,
    /// The response is a failure, incomplete or missing; what has arrived is kept.
    Failed,
    /// A stream of events broke off.
    StreamBroken,
    /// A body that was passed on in parts broke off.
    PassedOnBodyBroken,
};

} // namespace lavendertally::proxy
