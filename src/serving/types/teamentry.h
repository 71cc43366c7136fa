#pragma once

#include "framework/types/ids.h"

#include <optional>
#include <vector>

namespace lavendertally::serving {

/// A team of the platform and the API keys of its clients.
struct TeamEntry
{
    framework::TeamId id;
    /// Overrides the priority of the route.
    std::optional<framework::PriorityRank> priority;
    std::vector<framework::ApiKey> keys;
};

} // namespace lavendertally::serving
