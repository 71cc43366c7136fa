#pragma once

namespace lavendertally::control {

/// How an entry reads the control stream from the log.
enum class LogReadMode
{
    /// Long-polls the log for new records.
    Follow,
    /// Reads the log at intervals, in case all entries that follow it are cut off from it.
    Check,
};

} // namespace lavendertally::control
