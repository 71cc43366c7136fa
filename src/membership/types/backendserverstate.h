#pragma once

namespace lavendertally::membership {

/// Lifecycle state of a registered backend server.
enum class BackendServerState
{
    Ready,
    /// Finishes the work in flight and admits no new work.
    Draining,
};

} // namespace lavendertally::membership
