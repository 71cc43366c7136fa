#pragma once

#include "framework/types/ids.h"

#include <compare>

namespace lavendertally::stages {

/// Jobs of one route and priority, which admission treats alike apart from their worth.
struct JobClass
{
    framework::RouteId route;
    framework::PriorityRank priority;

    auto operator<=>(const JobClass &) const = default;
};

} // namespace lavendertally::stages
