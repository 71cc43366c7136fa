#pragma once

namespace lavendertally::replication {

/// Where the newest records of a topic come from.
enum class SnapshotOrigin
{
    /// The store itself: its records are the last that it executed.
    Store,
    /// The replica of another daemon, which may have missed heartbeats.
    Peer,
};

} // namespace lavendertally::replication
