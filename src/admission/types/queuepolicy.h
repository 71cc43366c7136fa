#pragma once

#include "framework/types/ids.h"

#include <cstdint>
#include <optional>

namespace lavendertally::admission {

/// Exceptions from the strict order of ranks in a FairQueue.
struct QueuePolicy
{
    /// Rank that is kept from starving behind the others; nothing if the order of ranks is strict.
    std::optional<framework::PriorityRank> protectedRank;
    /// While items of the protected rank wait, at least one of this many starts is one of them.
    std::uint32_t protectedStartInterval = 8;
    /// More urgent arrivals leave the protected rank at least one of this many places in the queue.
    std::uint32_t protectedQueueDivisor = 4;
    /// Rank for which SlotKind::Reserved slots are kept.
    framework::PriorityRank reservedRank;
};

} // namespace lavendertally::admission
