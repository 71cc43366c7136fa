#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "orders/types/holderid.h"

#include <cstdint>

namespace lavendertally::orders {

/// The lease in force at one point of the log.
struct Lease
{
    HolderId holder;
    std::uint64_t attempt = 0;
    /// Offset of its record.
    framework::FencingNumber fencing;
    framework::Milliseconds duration;
};

} // namespace lavendertally::orders
