#pragma once

namespace lavendertally::protocol {

/// Why a frame or message was rejected.
enum class ProtocolError
{
    /// The bytes are not a message of this protocol, a required field is missing, or a value is out
    /// of range.
    Malformed,
    /// A frame exceeds the size limit.
    TooLarge,
    /// The message has another protocol version.
    UnknownVersion,
};

} // namespace lavendertally::protocol
