#pragma once

namespace lavendertally::replication {

/// Whether a daemon reads a topic from the store, and for whom.
enum class SourceMode
{
    /// Does not read the store; follows the digests of its peers.
    Off,
    /// Reads the store for itself, because what its peers confirm is too old.
    Fallback,
    /// Reads the store as one of the daemons that the others follow.
    Leading,
};

} // namespace lavendertally::replication
