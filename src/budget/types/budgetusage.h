#pragma once

#include "budget/types/cause.h"
#include "budget/types/use.h"
#include "framework/types/units.h"

#include <array>
#include <cstdint>

namespace lavendertally::budget {

/// What is used now, and how often something was refused so far.
struct BudgetUsage
{
    framework::Bytes memory;
    std::array<framework::Bytes, UseCount> memoryByUse;
    std::uint32_t connections = 0;
    std::uint32_t exchanges = 0;
    /// Requests and connections that were refused or had to give way, by Cause.
    std::array<std::uint64_t, CauseCount> refusals{};
};

} // namespace lavendertally::budget
