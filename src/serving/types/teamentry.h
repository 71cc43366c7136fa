#pragma once

#include "framework/types/ids.h"

#include <optional>
#include <vector>

namespace lavendertally::serving {

struct TeamEntry
{
    framework::TeamId id;
    /// Goes before the priority of the route.
    std::optional<framework::PriorityRank> priority;
    std::vector<framework::ApiKey> keys;
};

} // namespace lavendertally::serving
