#pragma once

namespace lavendertally::peers {

/// Errors of IPeerNetwork.
enum class PeerError
{
    /// The endpoint is invalid or cannot be bound.
    ListenFailed,
};

} // namespace lavendertally::peers
