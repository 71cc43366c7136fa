#pragma once

namespace lavendertally::orders {

enum class OrderError
{
    /// The log could not be reached or did not show the lease in time; the order was not sent.
    LogUnavailable,
    /// Another holder has the lease; the order was not sent.
    LeaseLost,
    /// The engine refused the fencing number as old; the order was not applied.
    StaleFencing,
    /// The engine refused the order or never got it; it was not applied.
    NotApplied,
    /// The order was sent and may have been applied.
    Unknown,
};

} // namespace lavendertally::orders
