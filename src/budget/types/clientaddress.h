#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace lavendertally::budget {

/// IPv4 address that a client connects from; zero if it is not known.
class ClientAddress
{
public:
    constexpr ClientAddress() = default;
    constexpr explicit ClientAddress(std::uint32_t value) : m_value(value) { }
    constexpr std::uint32_t value() const { return m_value; }
    constexpr auto operator<=>(const ClientAddress &) const = default;

private:
    std::uint32_t m_value = 0;
};

} // namespace lavendertally::budget

template <>
struct std::hash<lavendertally::budget::ClientAddress>
{
    std::size_t operator()(lavendertally::budget::ClientAddress address) const noexcept
    {
        return std::hash<std::uint32_t>()(address.value());
    }
};
