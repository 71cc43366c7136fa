#pragma once

#include "protocol/types/rolloutservicestep.h"

#include <vector>

namespace lavendertally::protocol {

/// From the gateway that decides on rollouts to all others.
struct RolloutSteps
{
    std::vector<RolloutServiceStep> services;

    bool operator==(const RolloutSteps &) const = default;
};

} // namespace lavendertally::protocol
