#pragma once

#include "framework/itimer.h"
#include "framework/types/milliseconds.h"

#include <chrono>
#include <functional>
#include <optional>

struct event;
struct event_base;

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

    /// Waits for the signal of a signal handler.
    void add();
    /// \param delay time after which a timer fires
    void add(Milliseconds delay);

private:
    using Clock = std::chrono::steady_clock;

    static void fire(int fileOrSignal, short flags, void *self);
    void schedule(Milliseconds delay);
    bool isLate() const;

    std::function<void()> m_callback;
    event *m_event;
    /// When the timer should fire; nothing if it runs its callback whenever it fires.
    std::optional<Clock::time_point> m_due;
};

} // namespace lavendertally::framework
