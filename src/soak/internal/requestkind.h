#pragma once

namespace lavendertally::soak {

/// Kinds of requests in the load.
enum class RequestKind
{
    /// May run once.
    Booking,
    /// May run again.
    Lookup,
    /// Events, after pieces of a stage.
    Stream,
    /// A lookup on a route that was added during the run.
    Added,
};

} // namespace lavendertally::soak
