#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "protocol/types/rolloutorderid.h"

namespace lavendertally::rollout {

/// Order of an operator to move a service's traffic to the servers of one version.
struct RolloutOrder
{
    framework::ServiceId service;
    framework::SoftwareVersion target;
    /// Time from the order to its deadline.
    framework::Milliseconds duration;
    protocol::RolloutOrderId id;

    bool operator==(const RolloutOrder &) const = default;
};

} // namespace lavendertally::rollout
