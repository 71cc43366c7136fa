#pragma once

#include "framework/types/ids.h"

#include <cstdint>

namespace lavendertally::configuration {

/// Customer whose requests share capacity with those of other teams.
struct Team
{
    framework::TeamId id;
    /// Weight of this team in the fair sharing of a backend server.
    std::uint32_t share = 1;

    bool operator==(const Team &) const = default;
};

} // namespace lavendertally::configuration
