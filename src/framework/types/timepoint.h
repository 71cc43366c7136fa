#pragma once

#include "framework/types/milliseconds.h"

#include <compare>
#include <cstdint>
#include <limits>

namespace lavendertally::framework {

/// Instant in milliseconds since the epoch of the clock that gave it. Instants of two processes
/// cannot be compared; a remaining time budget travels in messages instead.
class TimePoint
{
public:
    constexpr TimePoint() = default;
    constexpr explicit TimePoint(std::int64_t sinceEpoch) : m_sinceEpoch(sinceEpoch) { }

    /// \return an instant later than any other
    static constexpr TimePoint never()
    {
        return TimePoint(std::numeric_limits<std::int64_t>::max());
    }

    constexpr std::int64_t sinceEpoch() const { return m_sinceEpoch; }

    constexpr auto operator<=>(const TimePoint &) const = default;

    friend constexpr TimePoint operator+(TimePoint point, Milliseconds delay)
    {
        return TimePoint(point.m_sinceEpoch + delay.value());
    }
    friend constexpr TimePoint operator-(TimePoint point, Milliseconds delay)
    {
        return TimePoint(point.m_sinceEpoch - delay.value());
    }
    friend constexpr Milliseconds operator-(TimePoint later, TimePoint earlier)
    {
        return Milliseconds(later.m_sinceEpoch - earlier.m_sinceEpoch);
    }

private:
    std::int64_t m_sinceEpoch = 0;
};

} // namespace lavendertally::framework
