#pragma once

#include "configurationcheck/keyhash.h"
#include "framework/types/ids.h"

#include <optional>
#include <vector>

namespace lavendertally::configurationcheck {

/// A team without its keys' secrets.
struct ComparedTeam
{
    framework::TeamId id;
    std::optional<framework::PriorityRank> priority;
    std::vector<KeyHash> keys;
};

} // namespace lavendertally::configurationcheck
