#pragma once

namespace lavendertally::soak {

/// What a LoopbackProxy does with the connections through it.
enum class ProxyMode
{
    Pass,
    /// Passes bytes on after a delay.
    Delay,
    /// Resets all connections, new ones too.
    Reset,
    /// Holds all bytes; connections stay open.
    Silence,
    /// Holds what servers send.
    HoldReplies,
    /// Holds what clients send.
    HoldRequests,
};

} // namespace lavendertally::soak
