#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"

#include <cstdint>
#include <vector>

namespace lavendertally::protocol {

/// One stage of a StageJob.
struct JobStage
{
    /// Index of the stage in its route.
    std::uint32_t index = 0;
    framework::ServiceId service;
    /// Indices of the stages whose results this one needs.
    std::vector<std::uint32_t> after;
    /// Number of pieces into which the stage is split.
    std::uint32_t pieces = 0;
    /// Typical size of the result of one piece.
    framework::Bytes resultSize;

    bool operator==(const JobStage &) const = default;
};

} // namespace lavendertally::protocol
