#pragma once

#include "framework/types/ids.h"
#include "routing/types/requestwork.h"

#include <cstdint>
#include <set>

namespace lavendertally::routing {

/// Input of the selection of a backend server.
struct ServerQuery
{
    framework::ServiceId service;
    /// Preferred availability zone.
    framework::AvailabilityZoneId zone;
    /// Hash of the shared prefix of the prompt; zero when prefix affinity brings no cache hits.
    std::uint64_t prefixHash = 0;
    /// Backend servers that already refused or failed this request.
    std::set<framework::BackendServerId> excluded;
    /// Requests per second that this daemon may send to each backend server in cold start; zero
    /// means no limit.
    double coldStartRate = 0.0;
    /// Work of the request, as far as it is known.
    RequestWork work;
};

} // namespace lavendertally::routing
