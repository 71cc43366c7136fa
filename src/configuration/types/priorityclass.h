#pragma once

namespace lavendertally::configuration {

/// Order of importance of requests under overload.
enum class PriorityClass
{
    /// A person waits, as on the phone; capacity is reserved for it.
    Interactive,
    Standard,
    /// Finishes however slowly.
    Background,
};

} // namespace lavendertally::configuration
