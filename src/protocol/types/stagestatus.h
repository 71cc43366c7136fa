#pragma once

namespace lavendertally::protocol {

enum class StageStatus
{
    /// The whole result is here.
    Done,
    /// Provably never started.
    NotRun,
    /// It may have run, in part or whole.
    Unknown,
};

} // namespace lavendertally::protocol
