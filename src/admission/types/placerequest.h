#pragma once

#include "admission/types/workkey.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::admission {

/// Request of a gateway that needs a place at one of the backend servers of a service.
struct PlaceRequest
{
    WorkKey key;
    framework::ServiceId service;
    framework::RouteId route;
    framework::TeamId team;
    framework::PriorityRank rank;
    /// Weight of the team.
    std::uint32_t share = 1;
    /// Time by which the answer must be complete.
    framework::TimePoint deadline;
    /// Time that the client gave when the request arrived; a repeated request has less of it.
    framework::Milliseconds timeGiven;
    /// Expected work, in tokens that count alike.
    framework::TokenCount size;
    /// Equal for all attempts of a client to get the same request served; zero if not known.
    std::uint64_t identity = 0;
    /// Whether work was done for the request that would be thrown away with it.
    bool hasInvestedWork = false;
};

} // namespace lavendertally::admission
