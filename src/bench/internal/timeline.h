#pragma once

#include "framework/testing/fakeclock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lavendertally::bench {

/// Runs callbacks in order of simulated time.
class Timeline
{
public:
    framework::TimePoint now() const { return m_clock.now(); }

    void at(framework::TimePoint time, std::function<void()> callback)
    {
        m_events.push({time, m_nextSequence++, std::move(callback)});
    }
    void after(framework::Milliseconds delay, std::function<void()> callback)
    {
        at(now() + delay, std::move(callback));
    }

    /// Runs everything that is due up to \p end.
    void runUntil(framework::TimePoint end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_clock.set(event.time);
            event.callback();
        }
        m_clock.set(end);
    }

private:
    struct Event
    {
        framework::TimePoint time;
        std::uint64_t sequence = 0;
        std::function<void()> callback;

        bool operator<(const Event &other) const
        {
            return time > other.time || (time == other.time && sequence > other.sequence);
        }
    };

    framework::FakeClock m_clock;
    std::uint64_t m_nextSequence = 0;
    std::priority_queue<Event> m_events;
};

} // namespace lavendertally::bench
