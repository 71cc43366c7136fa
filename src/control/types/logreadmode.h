#pragma once

namespace lavendertally::control {

/// How an entry reads the control stream from the log.
enum class LogReadMode
{
    /// Waits at the log for each new record.
    Follow,
    /// Looks now and then, in case all that follow are cut off from the log.
    Check,
};

} // namespace lavendertally::control
