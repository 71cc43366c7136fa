#pragma once

#include "framework/types/ids.h"

#include <memory>

namespace lavendertally::serving {
struct Route;
class ServingConfiguration;
struct TeamEntry;
} // namespace lavendertally::serving

namespace lavendertally::proxy {

/// What the configuration says about one request.
struct RequestPlan
{
    /// Keeps what the other members point into.
    std::shared_ptr<const serving::ServingConfiguration> configuration;
    const serving::Route *route = nullptr;
    /// Null if the request needs no key.
    const serving::TeamEntry *team = nullptr;
    /// Service that runs the request.
    framework::ServiceId service;

    /// \return rank of the request: its team's, or else its route's
    framework::PriorityRank priority() const;
};

} // namespace lavendertally::proxy
