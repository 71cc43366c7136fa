#pragma once

#include "framework/result.h"
#include "protocol/types/peermessage.h"

#include <string>
#include <string_view>

namespace lavendertally::protocol {

/// Encodes and decodes the messages on links between daemons.
class IPeerMessageCodec
{
public:
    virtual ~IPeerMessageCodec() = default;

    virtual std::string encode(const PeerMessage &message) const = 0;

    /// \return the message; ProtocolError if the bytes are not a valid message of this version
    virtual framework::Result<PeerMessage> decode(std::string_view bytes) const = 0;
};

} // namespace lavendertally::protocol
