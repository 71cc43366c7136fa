#pragma once

namespace lavendertally::operatortool {

/// What became of a change, as far as the tool knows.
enum class ChangeStatus
{
    Applied,
    /// On the log, but without effect, as another change came first or the whole is invalid.
    Void,
    /// Invalid; nothing was published.
    Refused,
    /// Nothing was published.
    NotApplied,
    /// It may have been published.
    Unknown,
};

} // namespace lavendertally::operatortool
