#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"

#include <cstdint>
#include <vector>

namespace lavendertally::protocol {

/// One stage of a StageJob.
struct JobStage
{
    /// Number of the stage in its route.
    std::uint32_t index = 0;
    framework::ServiceId service;
    /// Numbers of the stages whose results it needs.
    std::vector<std::uint32_t> after;
    std::uint32_t pieces = 0;
    /// Usual size of one result.
    framework::Bytes resultSize;

    bool operator==(const JobStage &) const = default;
};

} // namespace lavendertally::protocol
