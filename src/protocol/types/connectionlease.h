#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"

#include <cstdint>

namespace lavendertally::protocol {

/// Connections to one backend server beyond the share of the gateway that holds them.
struct ConnectionLease
{
    framework::Endpoint server;
    framework::ServiceId service;
    /// Connections beyond its share that the borrower has now; zero in a grant.
    std::uint32_t held = 0;
    /// Connections that are wanted, or lent.
    std::uint32_t count = 0;

    bool operator==(const ConnectionLease &) const = default;
};

} // namespace lavendertally::protocol
