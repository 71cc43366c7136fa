#pragma once

#include "framework/types/ids.h"

#include <vector>

namespace lavendertally::protocol {

/// Results that nobody needs any more.
struct StageResultRelease
{
    std::vector<framework::StageResultId> results;

    bool operator==(const StageResultRelease &) const = default;
};

} // namespace lavendertally::protocol
