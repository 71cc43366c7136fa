#include "connections/sharesize.h"

#include "peers/leadingdaemons.h"

#include <algorithm>

namespace lavendertally::connections {

namespace {

constexpr std::uint32_t ReserveDivisor = 8;

std::size_t reserveOf(std::size_t count)
{
    return std::max<std::size_t>(count / ReserveDivisor, 1);
}

std::uint32_t equalPart(std::uint32_t connections, std::size_t gateways)
{
    const auto part = static_cast<std::uint32_t>(connections / (gateways + reserveOf(gateways)));
    return std::max<std::uint32_t>(part, 1);
}

/// \return connections of a server that has fewer than there are gateways that belong to one
/// gateway each
std::uint32_t servedBySubset(std::uint32_t connections)
{
    constexpr std::uint32_t ServedEighths = 5;
    return std::max<std::uint32_t>(connections * ServedEighths / ReserveDivisor, 1);
}

/// With more gateways than connections, each server serves a range of places in the ranking, and
/// the ranges of successive servers follow each other around it. The rest is lent, or in reserve
/// for the ranges to shift when a gateway comes or goes.
std::uint32_t partOfSubset(std::uint32_t connections, const FleetView &fleet, std::size_t index)
{
    const std::size_t served = servedBySubset(connections);
    const std::size_t first = (index * served) % fleet.gateways;
    const std::size_t distance = (fleet.position + fleet.gateways - first) % fleet.gateways;
    return distance < served ? 1 : 0;
}

/// \return connections that belong to gateways, or are in reserve for others
std::size_t allotted(std::uint32_t connections, std::size_t gateways)
{
    if (gateways > connections) {
        return servedBySubset(connections) + reserveOf(connections);
    }
    return equalPart(connections, gateways) * (gateways + reserveOf(gateways));
}

} // namespace

std::uint32_t shareSize(const ServerCap &cap, const FleetView &fleet, bool isJoining)
{
    if (fleet.gateways == 0) {
        return equalPart(cap.connections, AssumedGateways);
    }
    if (fleet.gateways > cap.connections) {
        return partOfSubset(cap.connections, fleet, cap.index);
    }
    return equalPart(cap.connections,
                     isJoining ? std::max(fleet.gateways, AssumedGateways) : fleet.gateways);
}

std::uint32_t lendableSize(const ServerCap &cap, const FleetView &fleet)
{
    const bool lends = fleet.gateways > 0 && fleet.position < peers::LeadingDaemons;
    if (!lends) {
        return 0;
    }
    const std::size_t taken = allotted(cap.connections, fleet.gateways);
    const std::size_t rest = cap.connections - std::min<std::size_t>(taken, cap.connections);
    return static_cast<std::uint32_t>(rest / (peers::LeadingDaemons + 1));
}

} // namespace lavendertally::connections
