#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace lavendertally::framework {

/// Amount of one unit. Amounts of one unit add up and compare; amounts of two units do not mix.
/// \tparam Tag empty type that names the unit
template <typename Tag>
class Quantity
{
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(std::int64_t value) : m_value(value) { }

    constexpr std::int64_t value() const { return m_value; }

    constexpr auto operator<=>(const Quantity &) const = default;

    constexpr Quantity &operator+=(Quantity other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr Quantity &operator-=(Quantity other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
    friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }
    friend constexpr Quantity operator*(Quantity a, std::int64_t factor)
    {
        return Quantity(a.m_value * factor);
    }

    friend std::ostream &operator<<(std::ostream &stream, Quantity quantity)
    {
        return stream << quantity.m_value;
    }

private:
    std::int64_t m_value = 0;
};

} // namespace lavendertally::framework
