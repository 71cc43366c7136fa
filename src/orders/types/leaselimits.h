#pragma once

#include "framework/types/milliseconds.h"

namespace lavendertally::orders {

/// Bounds that every reader of the log applies alike.
struct LeaseLimits
{
    /// A lease record that asks for more is void.
    static constexpr framework::Milliseconds MaxDuration{60000};
};

} // namespace lavendertally::orders
