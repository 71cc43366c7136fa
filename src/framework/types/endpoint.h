#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace lavendertally::framework {

/// Address of a listening process by IP number and TCP port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;

    /// \return `address:port`
    std::string toString() const { return address + ":" + std::to_string(port); }
};

} // namespace lavendertally::framework
