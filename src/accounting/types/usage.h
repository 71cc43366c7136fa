#pragma once

namespace lavendertally::accounting {

/// Whether the work of an attempt was used, or why it was wasted.
enum class Usage
{
    /// Its result was part of a response in time.
    Used,
    /// The caller cancelled it, or a faster attempt made it unnecessary.
    Cancelled,
    /// Its result came after the deadline.
    Late,
    /// It failed; the stage was retried or the request ended.
    Failed,
};

/// \return whether the work contributed to no response in time
constexpr bool isWaste(Usage usage)
{
    return usage != Usage::Used;
}

} // namespace lavendertally::accounting
