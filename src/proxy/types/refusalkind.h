#pragma once

namespace lavendertally::proxy {

/// What a refusal tells the client about its request.
enum class RefusalKind
{
    /// No route matches the request's host name and path.
    NoRoute,
    /// The API key belongs to no team.
    UnknownKey,
    /// The request has not run and will not run; the client may repeat it.
    NotRun,
    /// A backend server may have run the request, but its response was lost.
    ResponseLost,
    /// The request was ended, by its deadline or a shutdown, while a backend server may have run
    /// it.
    TimedOut,
};

} // namespace lavendertally::proxy
