#pragma once

#include "protocol/types/stageholding.h"

#include <vector>

namespace lavendertally::protocol {

/// A daemon that still coordinates jobs beside the coordinator tells it all that it has at backend
/// servers; the next such message replaces this one.
struct StageHoldings
{
    std::vector<StageHolding> holdings;

    bool operator==(const StageHoldings &) const = default;
};

} // namespace lavendertally::protocol
