#pragma once

#include "framework/result.h"
#include "protocol/types/peermessage.h"

#include <string>
#include <string_view>

namespace lavendertally::protocol {

/// Turns messages between daemons into bytes and back.
class IPeerMessageCodec
{
public:
    virtual ~IPeerMessageCodec() = default;

    virtual std::string encode(const PeerMessage &message) const = 0;

    /// \return the message, or ProtocolError
    virtual framework::Result<PeerMessage> decode(std::string_view bytes) const = 0;
};

} // namespace lavendertally::protocol
