#pragma once

namespace lavendertally::rollout {

/// What an answer of a backend server says of its version.
enum class AnswerQuality
{
    /// Whole, or its first event has come.
    Sound,
    /// Status 5xx, broken or missing.
    Failed,
};

} // namespace lavendertally::rollout
