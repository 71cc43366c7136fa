#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::accounting {

/// Cost totals of one stage, team or service.
struct CostAccount
{
    framework::MicroCost cost;
    /// Parts of the cost that contributed to no response in time, by cause.
    framework::MicroCost cancelled;
    framework::MicroCost late;
    framework::MicroCost failed;
    framework::Milliseconds serviceTime;
    std::uint64_t attempts = 0;

    bool operator==(const CostAccount &) const = default;

    framework::MicroCost wasted() const { return cancelled + late + failed; }
};

} // namespace lavendertally::accounting
