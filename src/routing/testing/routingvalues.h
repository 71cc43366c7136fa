#pragma once

#include "protocol/types/loadreport.h"
#include "routing/types/routingquery.h"

#include <cstdint>

namespace lavendertally::routing {

inline protocol::LoadReport makeLoad(std::uint32_t running, std::uint32_t limit, bool cold = false)
{
    protocol::LoadReport load;
    load.running = running;
    load.limit = limit;
    load.cold = cold;
    return load;
}

inline RoutingQuery makeQuery(const framework::ServiceId &service,
                              const framework::AvailabilityZoneId &localZone)
{
    RoutingQuery query;
    query.service = service;
    query.localZone = localZone;
    return query;
}

} // namespace lavendertally::routing
