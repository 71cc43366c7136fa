#pragma once

namespace lavendertally::protocol {

/// How a StageRequest ended.
enum class StageStatus
{
    /// It ran, and the result is complete.
    Done,
    /// It has certainly not run, so a retry is safe.
    NotRun,
    /// It may have run, partly or completely.
    Unknown,
};

} // namespace lavendertally::protocol
