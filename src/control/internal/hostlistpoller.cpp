#include "control/internal/hostlistpoller.h"

#include "framework/iclock.h"
#include "framework/imetrics.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "infrastructure/ihostlist.h"
#include "membership/imembershipupdates.h"

namespace lavendertally::control {

namespace {

constexpr framework::Milliseconds PollInterval{1000};
constexpr framework::Milliseconds FetchTimeout{1000};

} // namespace

HostListPoller::HostListPoller(infrastructure::IHostList &hostList,
                               membership::IMembershipUpdates &updates,
                               framework::IScheduler &scheduler, const framework::IClock &clock,
                               framework::IMetrics &metrics)
    : m_hostList(hostList), m_updates(updates), m_scheduler(scheduler), m_clock(clock),
      m_metrics(metrics)
{ }

HostListPoller::~HostListPoller() = default;

void HostListPoller::start()
{
    m_timer = m_scheduler.callAfter(framework::Milliseconds(0), [this] { fetch(); });
}

void HostListPoller::fetch()
{
    const std::weak_ptr<const bool> alive = m_alive;
    m_hostList.fetch(
        FetchTimeout,
        [this, alive](const framework::Result<std::vector<membership::HostEntry>> &result) {
            if (!alive.expired()) {
                handleResult(result);
            }
        });
}

void HostListPoller::handleResult(
    const framework::Result<std::vector<membership::HostEntry>> &result)
{
    if (result) {
        m_updates.setHostList(result.value(), m_clock.now());
    } else {
        m_metrics.increment("lavendertally_host_list_failures_total", {});
        m_updates.expireHolds(m_clock.now());
    }
    m_timer = m_scheduler.callAfter(PollInterval, [this] { fetch(); });
    if (m_observer) {
        m_observer();
    }
}

} // namespace lavendertally::control
