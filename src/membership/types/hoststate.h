#pragma once

namespace lavendertally::membership {

/// Lifecycle state of a host in the host list.
enum class HostState
{
    Live,
    /// Finishes the work in flight and admits no new work.
    Leaving,
};

} // namespace lavendertally::membership
