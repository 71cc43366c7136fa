#pragma once

#include <cstdint>

namespace lavendertally::routing {

/// Load that a backend server states with an answer.
struct ServerLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

} // namespace lavendertally::routing
