#pragma once

#include "protocol/types/rolloutstep.h"

namespace lavendertally::rollout {

/// \return the name of \p step for logs
inline const char *stepName(protocol::RolloutStep step)
{
    switch (step) {
    case protocol::RolloutStep::Waiting:
        return "waiting";
    case protocol::RolloutStep::Canary:
        return "canary";
    case protocol::RolloutStep::FullLoad:
        return "full load";
    case protocol::RolloutStep::Everything:
        return "everything";
    case protocol::RolloutStep::RolledBack:
        return "rolled back";
    case protocol::RolloutStep::Completed:
        return "completed";
    }
    return "unknown";
}

} // namespace lavendertally::rollout
