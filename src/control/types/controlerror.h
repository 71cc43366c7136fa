#pragma once

namespace lavendertally::control {

enum class ControlError
{
    /// The address cannot be bound.
    ListenFailed,
    /// No answer came in time: the peer is down, frozen, cut off or did not understand.
    TimedOut,
    /// The answer is no message of the inner protocol.
    MalformedAnswer,
    /// All places for peers are taken by peers that have yet to answer.
    TooManyPeers,
    /// The carrier did not take the message.
    SendFailed,
};

} // namespace lavendertally::control
