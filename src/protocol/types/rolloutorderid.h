#pragma once

#include "framework/types/ids.h"

#include <compare>

namespace lavendertally::protocol {

/// Identifies an order by its record in the store.
struct RolloutOrderId
{
    framework::StoreEra era;
    framework::LogOffset offset;

    auto operator<=>(const RolloutOrderId &) const = default;
};

} // namespace lavendertally::protocol
