#pragma once

namespace lavendertally::serving {

/// How the requests of a route are answered, and whether they may be repeated.
enum class RouteKind
{
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// The response is a stream of events. May run at most once unless the route is resumable.
    Streaming,
};

} // namespace lavendertally::serving
