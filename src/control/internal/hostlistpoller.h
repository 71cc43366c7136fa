#pragma once

#include "framework/result.h"
#include "framework/types/milliseconds.h"
#include "membership/types/hostentry.h"

#include <functional>
#include <memory>
#include <vector>

namespace lavendertally::framework {
class IClock;
class IMetrics;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::membership {
class IMembershipUpdates;
}

namespace lavendertally::infrastructure {
class IHostList;
}

namespace lavendertally::control {

/// Fetches the host list at a fixed interval and passes it to the membership.
class HostListPoller
{
public:
    HostListPoller(infrastructure::IHostList &hostList, membership::IMembershipUpdates &updates,
                   framework::IScheduler &scheduler, const framework::IClock &clock,
                   framework::IMetrics &metrics);
    ~HostListPoller();
    HostListPoller(const HostListPoller &) = delete;
    HostListPoller &operator=(const HostListPoller &) = delete;

    /// \param observer called after each fetch, successful or not
    void setObserver(std::function<void()> observer) { m_observer = std::move(observer); }
    void start();

private:
    void fetch();
    void handleResult(const framework::Result<std::vector<membership::HostEntry>> &result);

    infrastructure::IHostList &m_hostList;
    membership::IMembershipUpdates &m_updates;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    framework::IMetrics &m_metrics;
    std::function<void()> m_observer;
    std::unique_ptr<framework::ITimer> m_timer;
    std::shared_ptr<const bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lavendertally::control
