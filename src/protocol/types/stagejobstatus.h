#pragma once

namespace lavendertally::protocol {

enum class StageJobStatus
{
    Done,
    /// No piece of it was started: it would not be done in time.
    Overloaded,
    /// Some pieces ran in vain: the time is up or backend servers failed.
    Failed,
    /// The daemon does not coordinate these services now.
    NotCoordinator,
};

} // namespace lavendertally::protocol
