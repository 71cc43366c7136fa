#pragma once

#include "framework/types/ids.h"

#include <cstdint>
#include <set>

namespace lavendertally::routing {

/// What the choice of a backend server depends on.
struct ServerQuery
{
    framework::ServiceId service;
    /// Zone to prefer.
    framework::AvailabilityZoneId zone;
    /// Hash of the shared part of the prompt; zero when no cache is worth meeting again.
    std::uint64_t prefixHash = 0;
    /// Backend servers that refused or failed this request already.
    std::set<framework::BackendServerId> excluded;
    /// Requests a second that this daemon may send to a backend server in cold start; zero means
    /// no bound.
    double coldStartRate = 0.0;
};

} // namespace lavendertally::routing
