#include "standins/deferredcalls.h"

#include "framework/ischeduler.h"
#include "framework/itimer.h"

#include <utility>

namespace lavendertally::standins {

DeferredCalls::DeferredCalls(framework::IScheduler &scheduler) : m_scheduler(scheduler) { }

DeferredCalls::~DeferredCalls() = default;

void DeferredCalls::callAfter(framework::Milliseconds delay, std::function<void()> callback)
{
    const std::uint64_t id = m_nextId++;
    m_timers[id] = m_scheduler.callAfter(delay, [this, id, callback = std::move(callback)] {
        // Keeps the timer, and with it this function, alive until the call has returned.
        const auto timer = m_timers.extract(id);
        callback();
    });
}

} // namespace lavendertally::standins
