#pragma once

namespace lavendertally::platform {

enum class StoreError
{
    /// No connection, or the store said that nothing was done.
    NotDone,
    /// No answer; an append may have been done, or may still be.
    Unknown,
    /// The records asked for are not kept any more.
    HistoryDropped,
    /// Something was written since the offset that a conditional append named; nothing was done.
    Outdated,
    /// The answer cannot be read.
    Malformed,
};

} // namespace lavendertally::platform
