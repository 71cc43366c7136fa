#include "framework/internal/eventtimer.h"

#include <event2/event.h>

namespace lavendertally::framework {

EventTimer::EventTimer(event_base *base, int fileOrSignal, short flags,
                       std::function<void()> callback)
    : m_callback(std::move(callback)),
      m_event(event_new(base, fileOrSignal, flags, &EventTimer::fire, this))
{ }

EventTimer::~EventTimer()
{
    event_free(m_event);
}

void EventTimer::add(const timeval *timeout)
{
    event_add(m_event, timeout);
}

void EventTimer::fire(int /*fileOrSignal*/, short /*flags*/, void *self)
{
    // The callback may destroy this object, so a copy of it runs.
    const std::function<void()> callback = static_cast<EventTimer *>(self)->m_callback;
    callback();
}

} // namespace lavendertally::framework
