#pragma once

#include "protocol/types/stageholding.h"

#include <vector>

namespace lavendertally::protocol {

/// Resources that a coordinator of stages uses at all backend servers. A daemon that still
/// coordinates jobs sends them to the chosen coordinator, which answers with its own, so that each
/// accounts for the other. Each message replaces the previous one of the same sender.
struct StageHoldings
{
    std::vector<StageHolding> holdings;

    bool operator==(const StageHoldings &) const = default;
};

} // namespace lavendertally::protocol
