#pragma once

namespace lavendertally::configuration {

/// Kind of calls that the backend servers of a service handle.
enum class ServiceKind
{
    Encode,
    Retrieve,
    Rerank,
    Generate,
    /// Call with a side effect, such as a booking; see Stage::idempotent.
    Action,
};

} // namespace lavendertally::configuration
