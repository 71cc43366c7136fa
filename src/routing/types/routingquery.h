#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <cstdint>
#include <set>

namespace lavendertally::routing {

/// Input of the selection of a backend host.
struct RoutingQuery
{
    framework::ServiceId service;
    /// Availability zone of the entry; its backend hosts are preferred.
    framework::AvailabilityZoneId localZone;
    /// Hash of the prompt's prefix; zero when prefix affinity brings no cache hits.
    std::uint64_t prefixHash = 0;
    /// Hosts that already refused or failed this stage.
    std::set<framework::HostId> excluded;
    /// Time left for the stage.
    framework::Milliseconds budget;
};

} // namespace lavendertally::routing
