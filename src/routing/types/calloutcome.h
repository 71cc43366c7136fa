#pragma once

namespace lavendertally::routing {

/// How a call to a backend server ended, as far as it tells something about that server.
enum class CallOutcome
{
    Succeeded,
    /// It answered with an error of its own.
    Failed,
    /// It said that it did not run the call.
    Refused,
    /// No connection, no answer, or one that broke off.
    TransportFailed,
    /// Ended from this side.
    Cancelled,
};

} // namespace lavendertally::routing
