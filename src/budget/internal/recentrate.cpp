#include "budget/recentrate.h"

namespace lavendertally::budget {

namespace {

/// A client whose bytes take a way of some hundred milliseconds still sends in each window.
constexpr framework::Milliseconds Window{500};

} // namespace

void RecentRate::note(framework::Bytes amount, framework::TimePoint now)
{
    if (now - m_begin >= Window) {
        const bool isNext = now - m_begin < Window * 2;
        m_previous = isNext ? m_current : framework::Bytes(0);
        m_current = framework::Bytes(0);
        m_begin = isNext ? m_begin + Window : now;
    }
    m_current += amount;
}

framework::Bytes RecentRate::at(framework::TimePoint now) const
{
    const framework::Milliseconds elapsed = now - m_begin;
    if (elapsed < Window) {
        return m_previous + m_current;
    }
    return elapsed < Window * 2 ? m_current : framework::Bytes(0);
}

} // namespace lavendertally::budget
