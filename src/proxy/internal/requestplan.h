#pragma once

#include "framework/types/ids.h"

#include <memory>

namespace lavendertally::serving {
struct Route;
class ServingConfiguration;
struct TeamEntry;
} // namespace lavendertally::serving

namespace lavendertally::proxy {

/// What the active configuration determines for one request.
struct RequestPlan
{
    /// Owns what the other members point into; keeps this version for the whole request.
    std::shared_ptr<const serving::ServingConfiguration> configuration;
    const serving::Route *route = nullptr;
    /// Null if the request needs no API key.
    const serving::TeamEntry *team = nullptr;
    /// Service chosen by the route's traffic split.
    framework::ServiceId service;

    /// \return priority of the team if it has one, otherwise that of the route
    framework::PriorityRank priority() const;
    /// \return id of the team; empty if there is none
    framework::TeamId teamId() const;
    /// \return kind of the route for logs and metrics; `none` without a route
    const char *kindName() const;
};

} // namespace lavendertally::proxy
