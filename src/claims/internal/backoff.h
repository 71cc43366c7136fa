#pragma once

#include "framework/irandom.h"
#include "framework/types/milliseconds.h"

#include <algorithm>

namespace lavendertally::claims {

/// Exponential backoff with jitter. Each delay is the minimum plus a random time, whose bound
/// starts at the minimum and doubles up to the maximum.
class Backoff
{
public:
    Backoff(framework::Milliseconds min, framework::Milliseconds max)
        : m_min(min), m_max(max), m_next(min)
    { }

    framework::Milliseconds next(framework::IRandom &random)
    {
        const auto spread = static_cast<std::uint64_t>(m_next.value());
        m_next = std::min(m_next * 2, m_max);
        return m_min + framework::Milliseconds(static_cast<std::int64_t>(random.below(spread + 1)));
    }
    void reset() { m_next = m_min; }

private:
    framework::Milliseconds m_min;
    framework::Milliseconds m_max;
    framework::Milliseconds m_next;
};

} // namespace lavendertally::claims
