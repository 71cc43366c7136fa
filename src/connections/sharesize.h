#pragma once

#include "connections/types/fleetview.h"
#include "connections/types/servercap.h"

#include <cstdint>

namespace lavendertally::connections {

/// Gateways for which a gateway that has just started leaves room, since it may not know all of
/// those that started with it: as many as the largest fleets in front of one plain service.
constexpr std::size_t AssumedGateways = 32;

/// Size of a gateway's part of the connections that one backend server accepts. The parts of all
/// gateways together stay within the cap, with room for an eighth more gateways, but at least one,
/// that not all others know of yet.
/// \param cap not unlimited
/// \param isJoining whether this gateway has started so recently that its view may be incomplete
/// \return connections that this gateway may hold; zero if there are more gateways than
/// connections and this one uses other servers of the service
std::uint32_t shareSize(const ServerCap &cap, const FleetView &fleet, bool isJoining);

/// Size of the part of one backend server's connections that this gateway lends to others. Leading
/// gateways have one each, and one more part stays in reserve for a change of these.
/// \param cap not unlimited
std::uint32_t lendableSize(const ServerCap &cap, const FleetView &fleet);

} // namespace lavendertally::connections
