#pragma once

namespace lavendertally::peers {

enum class PeerError
{
    /// The address cannot be bound.
    ListenFailed,
};

} // namespace lavendertally::peers
