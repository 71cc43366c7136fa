#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"

#include <cstddef>
#include <vector>

namespace lavendertally::serving {

/// One stage of a route: the service that runs it and the stages that it depends on.
struct StagePlan
{
    framework::ServiceId service;
    /// Indexes of the stages whose results this one needs.
    std::vector<std::size_t> after;
    /// Expected size of one result.
    framework::Bytes resultSize;
};

} // namespace lavendertally::serving
