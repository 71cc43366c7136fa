#pragma once

namespace lavendertally::routing {

/// How a call to a backend server ended, as a signal of that server's health.
enum class CallOutcome
{
    Succeeded,
    /// The backend server answered with an error.
    Failed,
    /// The backend server declined the call without running it.
    Refused,
    /// No connection, no response, or a response that broke off.
    TransportFailed,
    /// This process gave the call up.
    Cancelled,
};

} // namespace lavendertally::routing
