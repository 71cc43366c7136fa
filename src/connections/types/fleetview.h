#pragma once

#include <cstddef>

namespace lavendertally::connections {

/// What this gateway knows of the gateways that share the connections of backend servers.
struct FleetView
{
    /// Gateways, this one included; zero while they are not known.
    std::size_t gateways = 0;
    /// Place of this gateway in the ranking on which all gateways agree.
    std::size_t position = 0;

    bool operator==(const FleetView &) const = default;
};

} // namespace lavendertally::connections
