#pragma once

namespace lavendertally::membership {

enum class BackendServerState
{
    Ready,
    /// Finishes its work and takes none.
    Draining,
};

} // namespace lavendertally::membership
