#pragma once

#include "configuration/types/servicekind.h"
#include "framework/types/ids.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::configuration {

/// Pool of backend servers that handle the same kind of calls.
struct Service
{
    framework::ServiceId id;
    ServiceKind kind = ServiceKind::Encode;
    /// Model that the inference engines serve; empty for services without a model.
    framework::ModelId model;
    /// Concurrent calls that one warm backend server can run.
    std::uint32_t concurrency = 1;
    /// Concurrent calls that one backend server can run during its cold start.
    std::uint32_t coldConcurrency = 1;
    /// Calls that one host process may hold in its queue.
    std::uint32_t queueLength = 0;
    /// Cost of running one backend server for one hour.
    framework::MicroCost costPerHour;
    /// Whether the backend servers reject calls that carry an outdated fencing token.
    bool checksFencing = false;

    bool operator==(const Service &) const = default;
};

} // namespace lavendertally::configuration
