#pragma once

#include "framework/result.h"
#include "protocol/types/message.h"

#include <string>
#include <string_view>

namespace lavendertally::protocol {

/// Turns messages into bytes and back.
class IMessageCodec
{
public:
    virtual ~IMessageCodec() = default;

    virtual std::string encode(const Message &message) const = 0;

    /// \return the message, or ProtocolError
    virtual framework::Result<Message> decode(std::string_view bytes) const = 0;
};

} // namespace lavendertally::protocol
