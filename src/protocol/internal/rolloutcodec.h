#pragma once

#include "framework/result.h"
#include "protocol/types/peermessage.h"

namespace lavendertally::protocol {

namespace peerwire {
class RolloutReport;
class RolloutSteps;
} // namespace peerwire

/// Converts the messages about rollouts between the types of this module and those of peer.proto.
class RolloutCodec
{
public:
    static void write(const RolloutReport &report, peerwire::RolloutReport &target);
    static void write(const RolloutSteps &steps, peerwire::RolloutSteps &target);

    /// \return the message, or ProtocolError::Malformed
    static framework::Result<PeerMessage> read(const peerwire::RolloutReport &in);
    static framework::Result<PeerMessage> read(const peerwire::RolloutSteps &in);
};

} // namespace lavendertally::protocol
