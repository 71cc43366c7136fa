#pragma once

#include "protocol/imessagecodec.h"

namespace lavendertally::protocol {

/// Codec based on Protocol Buffers; the schema is inner.proto.
class ProtobufCodec final : public IMessageCodec
{
public:
    std::string encode(const Message &message) const override;
    framework::Result<Message> decode(std::string_view bytes) const override;
};

} // namespace lavendertally::protocol
