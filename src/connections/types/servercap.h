#pragma once

#include <cstddef>
#include <cstdint>

namespace lavendertally::connections {

/// Connections that one backend server accepts.
struct ServerCap
{
    /// From all gateways together; zero means no limit.
    std::uint32_t connections = 0;
    /// Place of the server among those of its service, the same at all gateways.
    std::size_t index = 0;
};

} // namespace lavendertally::connections
