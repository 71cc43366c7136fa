#pragma once

#include "framework/types/ids.h"

#include <vector>

namespace lavendertally::protocol {

/// Tells the coordinator which results are no longer needed, so that their memory can be freed.
struct StageResultRelease
{
    std::vector<framework::StageResultId> results;

    bool operator==(const StageResultRelease &) const = default;
};

} // namespace lavendertally::protocol
