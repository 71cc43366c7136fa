#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace lavendertally::framework {
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::standins {

/// Calls scheduled for later that nobody cancels one by one; they end with this object.
class DeferredCalls
{
public:
    explicit DeferredCalls(framework::IScheduler &scheduler);
    ~DeferredCalls();

    void callAfter(framework::Milliseconds delay, std::function<void()> callback);

private:
    framework::IScheduler &m_scheduler;
    std::uint64_t m_nextId = 0;
    std::map<std::uint64_t, std::unique_ptr<framework::ITimer>> m_timers;
};

} // namespace lavendertally::standins
