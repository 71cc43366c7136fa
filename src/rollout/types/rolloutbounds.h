#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::rollout {

/// What a deployment asks of rollouts.
struct RolloutBounds
{
    /// Largest share of a service's requests that a bad version may get between the order and its
    /// deadline; zero means that there are no rollouts.
    double exposureShare = 0.0;
    /// Requests allowed on top of that, over all daemons.
    std::uint32_t exposureSlack = 0;
    /// Time after the 50th bad answer within which nothing more may go to the new version.
    framework::Milliseconds rollbackLimit{5000};

    bool isEnabled() const { return exposureShare > 0.0; }
};

} // namespace lavendertally::rollout
