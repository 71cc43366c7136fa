#pragma once

#include <cstdint>

namespace lavendertally::admission {

/// Load of a backend server by its own report, calls of all gateways included.
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Requests that it processes concurrently; zero if it does not say.
    std::uint32_t slots = 0;
};

} // namespace lavendertally::admission
