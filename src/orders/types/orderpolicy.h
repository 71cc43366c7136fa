#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::orders {

/// Times of leases and orders, and what the engine does with fencing numbers.
struct OrderPolicy
{
    /// Length of a lease; at most LeaseLimits::MaxDuration.
    framework::Milliseconds leaseDuration{10000};
    /// Longest time from sending an order to its answer. An engine acts on an order within this
    /// time or not at all; only engines that ignore fencing numbers rely on it.
    framework::Milliseconds orderTimeout{2000};
    /// Longest time for one call to the log service.
    framework::Milliseconds logTimeout{1000};
    /// Most that two hosts' clocks differ in rate, in percent.
    std::int64_t clockDriftPercent = 1;
    /// Whether the engine refuses old fencing numbers.
    bool engineChecksFencing = false;
};

} // namespace lavendertally::orders
