#pragma once

namespace lavendertally::control {

enum class ControlError
{
    /// The address cannot be bound.
    ListenFailed,
    /// No answer within the timeout: the peer is down, paused or partitioned, or did not answer
    /// this query.
    TimedOut,
    /// The answer is not a message of the inner protocol, or not of the expected type.
    MalformedAnswer,
    /// ControlLimits::maxPeers connections are open and all of them have queries in flight.
    TooManyPeers,
    /// The transport did not accept the message.
    SendFailed,
};

} // namespace lavendertally::control
