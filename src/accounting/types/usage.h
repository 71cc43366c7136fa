#pragma once

namespace lavendertally::accounting {

/// What became of the work of one attempt.
enum class Usage
{
    /// Its result was part of an answer in time.
    Used,
    /// The caller or a faster attempt ended it.
    Cancelled,
    /// Its result came after the deadline.
    Late,
    /// It failed, and another attempt was made or the request ended.
    Failed,
};

/// \return whether the work served no answer in time
constexpr bool isWaste(Usage usage)
{
    return usage != Usage::Used;
}

} // namespace lavendertally::accounting
