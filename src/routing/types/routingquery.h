#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <cstdint>
#include <set>

namespace lavendertally::routing {

/// What the choice of a backend server depends on.
struct RoutingQuery
{
    framework::ServiceId service;
    /// Zone of the entry; preferred.
    framework::AvailabilityZoneId localZone;
    /// Hash of the prompt's prefix; zero when no cache is worth meeting again.
    std::uint64_t prefixHash = 0;
    /// Hosts that refused or failed this stage already.
    std::set<framework::HostId> excluded;
    /// Time left for the stage.
    framework::Milliseconds budget;
};

} // namespace lavendertally::routing
