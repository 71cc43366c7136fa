#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lavendertally::framework {
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::proxy {

/// Waiting of one request for capacity at the backend servers of its service.
class CapacityWait
{
public:
    explicit CapacityWait(framework::IScheduler &scheduler);
    ~CapacityWait();
    CapacityWait(const CapacityWait &) = delete;
    CapacityWait &operator=(const CapacityWait &) = delete;

    /// Waits briefly for a permit of backend servers that name rate limits, if the request may
    /// still do so. \param timeLeft time until the request's deadline \param next called after the
    /// wait, unless cancel() is called before \return whether the request waits
    bool waitForPermit(framework::Milliseconds timeLeft, std::function<void()> next);
    /// An attempt is sent; the next one may wait again.
    void reset() { m_permitWaits = 0; }
    void cancel();

private:
    framework::IScheduler &m_scheduler;
    /// How often the next attempt has waited for a permit.
    std::uint32_t m_permitWaits = 0;
    std::unique_ptr<framework::ITimer> m_timer;
};

} // namespace lavendertally::proxy
