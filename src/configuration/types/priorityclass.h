#pragma once

namespace lavendertally::configuration {

/// Class that determines which requests are served first under overload, highest first.
enum class PriorityClass
{
    /// A person is waiting, for example on the phone; capacity is reserved for this class.
    Interactive,
    Standard,
    /// May be delayed without limit but still completes.
    Background,
};

} // namespace lavendertally::configuration
