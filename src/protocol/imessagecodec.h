#pragma once

#include "framework/result.h"
#include "protocol/types/message.h"

#include <string>
#include <string_view>

namespace lavendertally::protocol {

/// Encodes and decodes the messages of the inner protocol.
class IMessageCodec
{
public:
    virtual ~IMessageCodec() = default;

    virtual std::string encode(const Message &message) const = 0;

    /// \return the message; ProtocolError if the bytes are not a valid message of this version
    virtual framework::Result<Message> decode(std::string_view bytes) const = 0;
};

} // namespace lavendertally::protocol
