#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/rolloutstep.h"

#include <cstddef>
#include <set>

namespace lavendertally::rollout {

/// What the decider sees of one service beside the reports.
struct RolloutSituation
{
    /// Step that this daemon follows.
    protocol::RolloutStep step = protocol::RolloutStep::Waiting;
    /// Time since the order.
    framework::Milliseconds elapsed;
    std::size_t targetServers = 0;
    std::size_t otherServers = 0;
    /// Whether the order names the version that is in use.
    bool isTargetEstablished = false;
    /// Daemons that are up.
    std::set<framework::DaemonId> registered;
};

} // namespace lavendertally::rollout
