#include "protocol/protocolmodule.h"

#include "protocol/internal/framereader.h"
#include "protocol/internal/protobufcodec.h"
#include "protocol/internal/protobufpeercodec.h"

namespace lavendertally::protocol {

std::unique_ptr<IMessageCodec> ProtocolModule::makeCodec()
{
    return std::make_unique<ProtobufCodec>();
}

std::unique_ptr<IPeerMessageCodec> ProtocolModule::makePeerCodec()
{
    return std::make_unique<ProtobufPeerCodec>();
}

std::unique_ptr<IFrameReader> ProtocolModule::makeFrameReader()
{
    return std::make_unique<FrameReader>();
}

} // namespace lavendertally::protocol
