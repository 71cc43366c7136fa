#pragma once

#include "protocol/ipeermessagecodec.h"

namespace lavendertally::protocol {

/// Codec based on Protocol Buffers; the schema is peer.proto.
class ProtobufPeerCodec final : public IPeerMessageCodec
{
public:
    std::string encode(const PeerMessage &message) const override;
    framework::Result<PeerMessage> decode(std::string_view bytes) const override;
};

} // namespace lavendertally::protocol
