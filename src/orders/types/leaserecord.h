#pragma once

#include "framework/types/milliseconds.h"
#include "orders/types/holderid.h"
#include "orders/types/leasebasis.h"

#include <cstdint>

namespace lavendertally::orders {

/// Record of the stream `orders.HOST`.
struct LeaseRecord
{
    enum class Kind
    {
        /// Takes or renews the lease.
        Lease,
        /// Gives the lease back before its end.
        Release,
    };

    Kind kind = Kind::Lease;
    HolderId holder;
    /// Counts the holder's records, so that it knows its own.
    std::uint64_t attempt = 0;
    LeaseBasis basis;
    framework::Milliseconds duration;

    bool operator==(const LeaseRecord &) const = default;
};

} // namespace lavendertally::orders
