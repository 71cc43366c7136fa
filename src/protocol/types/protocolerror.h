#pragma once

namespace lavendertally::protocol {

enum class ProtocolError
{
    /// The bytes are no message of this protocol, or a required field is missing.
    Malformed,
    TooLarge,
    UnknownVersion,
};

} // namespace lavendertally::protocol
