#pragma once

#include "protocol/ipeermessagecodec.h"

namespace lavendertally::protocol {

/// Codec on Protocol Buffers; peer.proto is the schema.
class ProtobufPeerCodec final : public IPeerMessageCodec
{
public:
    std::string encode(const PeerMessage &message) const override;
    framework::Result<PeerMessage> decode(std::string_view bytes) const override;
};

} // namespace lavendertally::protocol
