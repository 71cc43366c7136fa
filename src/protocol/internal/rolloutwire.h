#pragma once

#include "framework/result.h"
#include "protocol/types/peermessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace lavendertally::protocol {

/// Encodes what peer.proto says of rollouts, in the wire format of protobuf: fields 15 and 16 of
/// Envelope, and takes_rollouts of Hello and Pong. The generated code of peer.proto does not know
/// them yet; once it is generated anew, it takes the place of this file, with the same bytes.
class RolloutWire
{
public:
    /// What an encoded envelope says of rollouts.
    struct Content
    {
        bool takesRollouts = false;
        /// Nothing if the envelope has neither field 15 nor field 16.
        std::optional<PeerMessage> message;
    };

    /// \return field of Envelope with the message, to append to the encoded envelope
    static std::string encode(const RolloutReport &report);
    static std::string encode(const RolloutSteps &steps);

    /// \return fields of Envelope to append to one with a hello or pong whose sender takes rollouts
    static std::string announceInHello();
    static std::string announceInPong();

    /// \param envelope encoded
    /// \return what it says, or ProtocolError
    static framework::Result<Content> decode(std::string_view envelope);
};

} // namespace lavendertally::protocol
