#pragma once

#include "framework/itimer.h"

#include <functional>

struct event;
struct event_base;
struct timeval;

namespace lavendertally::framework {

/// Callback on a libevent event.
class EventTimer final : public ITimer
{
public:
    /// \param fileOrSignal signal number, or -1 for a timer
    /// \param flags libevent's EV_ flags
    EventTimer(event_base *base, int fileOrSignal, short flags, std::function<void()> callback);
    ~EventTimer() override;
    EventTimer(const EventTimer &) = delete;
    EventTimer &operator=(const EventTimer &) = delete;

    /// \param timeout delay, or null for none
    void add(const timeval *timeout);

private:
    static void fire(int fileOrSignal, short flags, void *self);

    std::function<void()> m_callback;
    event *m_event;
};

} // namespace lavendertally::framework
