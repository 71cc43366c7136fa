#pragma once

#include "framework/types/ids.h"
#include "protocol/types/rolloutstep.h"

#include <optional>
#include <vector>

namespace lavendertally::rollout {

/// What is to be done about the rollout of one service.
struct RolloutDecision
{
    protocol::RolloutStep step = protocol::RolloutStep::Waiting;
    /// Why it is not a higher one, or why it is this one; for the log.
    const char *reason = "";
    /// Daemons that may still have requests at old servers.
    std::vector<framework::DaemonId> awaited;
};

} // namespace lavendertally::rollout
