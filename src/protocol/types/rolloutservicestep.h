#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/rolloutorderid.h"
#include "protocol/types/rolloutstep.h"

namespace lavendertally::protocol {

/// Step of the rollout of one service.
struct RolloutServiceStep
{
    framework::ServiceId service;
    framework::SoftwareVersion target;
    RolloutOrderId order;
    RolloutStep step = RolloutStep::Waiting;
    /// Time since the order was seen by any gateway.
    framework::Milliseconds elapsed;

    bool operator==(const RolloutServiceStep &) const = default;
};

} // namespace lavendertally::protocol
