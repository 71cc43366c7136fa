#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace lavendertally::framework {

/// Position in a sequence: an offset, an attempt number, a fencing number. It can be compared and
/// advanced, but not added to another one.
/// \tparam Tag empty type that names the sequence
template <typename Tag>
class Ordinal
{
public:
    constexpr Ordinal() = default;
    constexpr explicit Ordinal(std::uint64_t value) : m_value(value) { }

    constexpr std::uint64_t value() const { return m_value; }
    constexpr Ordinal next() const { return Ordinal(m_value + 1); }

    constexpr auto operator<=>(const Ordinal &) const = default;

    friend std::ostream &operator<<(std::ostream &stream, Ordinal ordinal)
    {
        return stream << ordinal.m_value;
    }

private:
    std::uint64_t m_value = 0;
};

} // namespace lavendertally::framework

template <typename Tag>
struct std::hash<lavendertally::framework::Ordinal<Tag>>
{
    std::size_t operator()(lavendertally::framework::Ordinal<Tag> ordinal) const noexcept
    {
        return std::hash<std::uint64_t>{}(ordinal.value());
    }
};
