#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::accounting {

/// Sums of one stage, team or service.
struct CostAccount
{
    framework::MicroCost cost;
    /// Parts of the cost that served no answer in time.
    framework::MicroCost cancelled;
    framework::MicroCost late;
    framework::MicroCost failed;
    framework::Milliseconds serviceTime;
    std::uint64_t attempts = 0;

    bool operator==(const CostAccount &) const = default;

    framework::MicroCost wasted() const { return cancelled + late + failed; }
};

} // namespace lavendertally::accounting
