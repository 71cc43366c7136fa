#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "membership/types/backendserverstate.h"

#include <cstdint>

namespace lavendertally::membership {

/// A backend server as it registered itself.
struct BackendServerEntry
{
    framework::BackendServerId id;
    framework::ServiceId service;
    framework::Endpoint endpoint;
    framework::AvailabilityZoneId zone;
    BackendServerState state = BackendServerState::Ready;
    /// Requests that it works on at once.
    std::uint32_t slots = 1;
    /// End of its cold start.
    framework::TimePoint coldUntil;
    /// Tells its starts apart.
    framework::Incarnation incarnation;
};

} // namespace lavendertally::membership
