#pragma once

#include <memory>

namespace lavendertally::protocol {

class IFrameReader;
class IMessageCodec;
class IPeerMessageCodec;

/// Makes the codec of the inner protocol.
class ProtocolModule
{
public:
    static std::unique_ptr<IMessageCodec> makeCodec();
    static std::unique_ptr<IPeerMessageCodec> makePeerCodec();
    static std::unique_ptr<IFrameReader> makeFrameReader();
};

} // namespace lavendertally::protocol
