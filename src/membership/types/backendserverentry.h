#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "membership/types/backendserverstate.h"
#include "membership/types/serverlifetime.h"

#include <cstdint>

namespace lavendertally::membership {

/// Registration of a backend server.
struct BackendServerEntry
{
    framework::BackendServerId id;
    framework::ServiceId service;
    framework::Endpoint endpoint;
    framework::AvailabilityZoneId zone;
    framework::SoftwareVersion version;
    BackendServerState state = BackendServerState::Ready;
    /// Requests that it processes concurrently.
    std::uint32_t slots = 1;
    /// End of its cold start; in the past when it is warm.
    framework::TimePoint coldUntil;
    /// Rises with each start; zero if it is not known.
    framework::Incarnation incarnation;
    /// Rises with each report of one incarnation; zero if it is not known.
    framework::ReportNumber reports;

    ServerLifetime lifetime() const { return {id, incarnation}; }
};

} // namespace lavendertally::membership
