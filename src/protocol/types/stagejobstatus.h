#pragma once

namespace lavendertally::protocol {

/// How a StageJob ended.
enum class StageJobStatus
{
    Done,
    /// Refused or dropped before any piece was started, because it would not be done in time.
    Overloaded,
    /// Given up after some pieces had run, because it was late or backend servers failed.
    Failed,
    /// The daemon does not coordinate these services at present.
    NotCoordinator,
};

} // namespace lavendertally::protocol
