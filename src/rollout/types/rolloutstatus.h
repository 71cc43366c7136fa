#pragma once

#include "framework/types/ids.h"
#include "protocol/types/rolloutorderid.h"
#include "rollout/types/rolloutstate.h"

namespace lavendertally::rollout {

/// Status of a rollout, as it stands in the store for the operator.
struct RolloutStatus
{
    framework::ServiceId service;
    framework::SoftwareVersion target;
    RolloutState state = RolloutState::Running;
    /// Order that it belongs to.
    protocol::RolloutOrderId order;

    bool isFinal() const { return state != RolloutState::Running; }
    bool operator==(const RolloutStatus &) const = default;
};

} // namespace lavendertally::rollout
