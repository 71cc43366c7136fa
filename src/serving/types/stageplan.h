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

/// \return for each stage, the indexes of those whose results it needs
inline std::vector<std::vector<std::size_t>> predecessors(const std::vector<StagePlan> &stages)
{
    std::vector<std::vector<std::size_t>> result;
    result.reserve(stages.size());
    for (const StagePlan &stage : stages) {
        result.push_back(stage.after);
    }
    return result;
}

} // namespace lavendertally::serving
