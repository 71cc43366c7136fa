#pragma once

namespace lavendertally::serving {

/// What may be repeated of the requests of a route.
enum class RouteKind
{
    /// May run any number of times.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// The answer is a stream of events; runs once at most unless the route is resumable.
    Streaming,
};

} // namespace lavendertally::serving
