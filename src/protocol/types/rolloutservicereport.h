#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/rolloutevidence.h"
#include "protocol/types/rolloutorderid.h"
#include "protocol/types/rolloutstep.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lavendertally::protocol {

/// Most entries of evidence in one report of a service, and most services in a message.
constexpr std::size_t MaxRolloutEvidence = 256;
constexpr std::size_t MaxRolloutServices = 64;

/// What one gateway knows of the rollout of one service.
struct RolloutServiceReport
{
    framework::ServiceId service;
    framework::SoftwareVersion target;
    RolloutOrderId order;
    /// Step that the gateway follows. From Everything on it sends nothing to other versions.
    RolloutStep step = RolloutStep::Waiting;
    /// Time since the order was seen by any gateway.
    framework::Milliseconds elapsed;
    /// Requests of this gateway that are at servers of other versions.
    std::uint64_t atOldServers = 0;
    /// Requests sent since the gateway saw the order.
    std::uint64_t sent = 0;
    std::uint64_t sentToTarget = 0;
    std::vector<RolloutEvidence> evidence;

    bool operator==(const RolloutServiceReport &) const = default;
};

} // namespace lavendertally::protocol
