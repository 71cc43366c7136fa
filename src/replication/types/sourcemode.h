#pragma once

namespace lavendertally::replication {

/// How a daemon reads a topic from the store.
enum class SourceMode
{
    /// Not at all; it follows its peers.
    Off,
    /// Itself, as no peer is fresh enough.
    Fallback,
    /// For its peers too.
    Leading,
};

} // namespace lavendertally::replication
