#pragma once

#include <cstdint>
#include <optional>

namespace lavendertally::routing {

/// Load that a backend server reports with a response.
struct ServerLoad
{
    /// Requests being processed.
    std::uint32_t running = 0;
    /// Requests in the queue.
    std::uint32_t waiting = 0;
    /// Requests that can be processed concurrently.
    std::uint32_t slots = 0;
    /// Time that work takes there now, in percent of the usual one; not all servers report it.
    std::optional<std::uint32_t> workTimePercent = std::nullopt;
};

} // namespace lavendertally::routing
