#pragma once

namespace lavendertally::protocol {

/// How far a service's traffic has moved to the version that an order names. Only rises.
enum class RolloutStep
{
    /// The new version gets nothing.
    Waiting,
    /// It gets a small share, on few of its servers.
    Canary,
    /// Few of its servers get what each of them will get in the end.
    FullLoad,
    /// It gets all new requests.
    Everything,
    /// It gets nothing any more.
    RolledBack,
    /// The status in the store says that the order is carried out.
    Completed,
};

} // namespace lavendertally::protocol
