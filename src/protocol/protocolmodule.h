#pragma once

#include <memory>

namespace lavendertally::protocol {

class IFrameReader;
class IMessageCodec;
class IPeerMessageCodec;

/// Creates codecs and frame readers.
class ProtocolModule
{
public:
    /// \return codec of the inner protocol: stage calls, configuration updates and load probes
    static std::unique_ptr<IMessageCodec> makeCodec();
    /// \return codec of the messages on links between daemons
    static std::unique_ptr<IPeerMessageCodec> makePeerCodec();
    static std::unique_ptr<IFrameReader> makeFrameReader();
};

} // namespace lavendertally::protocol
