#pragma once

#include "configuration/types/servicekind.h"
#include "framework/types/ids.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::configuration {

/// Pool of backend servers that answer the same kind of call.
struct Service
{
    framework::ServiceId id;
    ServiceKind kind = ServiceKind::Encode;
    /// Model that its engines serve; empty for plain services.
    framework::ModelId model;
    /// Calls that one warm backend server runs at once.
    std::uint32_t concurrency = 1;
    /// Calls that one backend server in cold start can bear at once.
    std::uint32_t coldConcurrency = 1;
    /// Calls that may wait in one host process.
    std::uint32_t queueLength = 0;
    /// Price of one backend server for an hour.
    framework::MicroCost costPerHour;
    /// Whether its backend servers refuse an order with an old fencing number.
    bool checksFencing = false;

    bool operator==(const Service &) const = default;
};

} // namespace lavendertally::configuration
