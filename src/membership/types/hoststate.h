#pragma once

namespace lavendertally::membership {

enum class HostState
{
    Live,
    /// Finishes its work and takes none.
    Leaving,
};

} // namespace lavendertally::membership
