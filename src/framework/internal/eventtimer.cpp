#include "framework/internal/eventtimer.h"

#include <event2/event.h>

#include <algorithm>
#include <utility>

namespace lavendertally::framework {

namespace {

constexpr std::int64_t MillisecondsPerSecond = 1000;
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;

/// Lateness from which a timer lets the loop read its sockets once more before the callback runs.
/// What a timeout waits for may have arrived while the process did not run.
constexpr Milliseconds MaxLateness{20};

} // namespace

EventTimer::EventTimer(event_base *base, int fileOrSignal, short flags,
                       std::function<void()> callback)
    : m_callback(std::move(callback)),
      m_event(event_new(base, fileOrSignal, flags, &EventTimer::fire, this))
{ }

EventTimer::~EventTimer()
{
    event_free(m_event);
}

void EventTimer::add()
{
    event_add(m_event, nullptr);
}

void EventTimer::add(Milliseconds delay)
{
    if (delay > Milliseconds(0)) {
        m_due = Clock::now() + std::chrono::milliseconds(delay.value());
    }
    schedule(delay);
}

void EventTimer::schedule(Milliseconds delay)
{
    const std::int64_t milliseconds = std::max<std::int64_t>(delay.value(), 0);
    timeval timeout{};
    timeout.tv_sec = milliseconds / MillisecondsPerSecond;
    timeout.tv_usec = (milliseconds % MillisecondsPerSecond) * MicrosecondsPerMillisecond;
    event_add(m_event, &timeout);
}

/// \return whether the process was paused or delayed past the time at which the timer was due
bool EventTimer::isLate() const
{
    return m_due && Clock::now() - *m_due > std::chrono::milliseconds(MaxLateness.value());
}

void EventTimer::fire(int /*fileOrSignal*/, short /*flags*/, void *self)
{
    auto *timer = static_cast<EventTimer *>(self);
    if (timer->isLate()) {
        timer->m_due.reset();
        timer->schedule(Milliseconds(0));
        return;
    }
    // The callback may destroy this object, so a copy of it runs.
    const std::function<void()> callback = timer->m_callback;
    callback();
}

} // namespace lavendertally::framework
