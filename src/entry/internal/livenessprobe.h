#pragma once

#include "framework/types/ids.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>

namespace lavendertally::control {
class IDaemonControl;
}

namespace lavendertally::framework {
class IClock;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::membership {
class IMembership;
class IMembershipTracker;
} // namespace lavendertally::membership

namespace lavendertally::pipeline {
class IRequestService;
}

namespace lavendertally::routing {
class IHostSelector;
}

namespace lavendertally::entry {

/// Asks host processes that owe an answer for a while whether they still answer at all, since a
/// frozen process keeps its connections open. Calls to one that does not are ended, so that they
/// can be tried elsewhere.
class LivenessProbe
{
public:
    /// The arguments outlive this object.
    LivenessProbe(pipeline::IRequestService &requests, control::IDaemonControl &control,
                  const membership::IMembershipTracker &membership,
                  routing::IHostSelector &selector, framework::IScheduler &scheduler,
                  const framework::IClock &clock);
    ~LivenessProbe();
    LivenessProbe(const LivenessProbe &) = delete;
    LivenessProbe &operator=(const LivenessProbe &) = delete;

private:
    void check();
    void ask(const framework::HostId &host);
    void onAnswer(const framework::HostId &host, bool answered);

    pipeline::IRequestService &m_requests;
    control::IDaemonControl &m_control;
    const membership::IMembershipTracker &m_membership;
    routing::IHostSelector &m_selector;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    /// Questions in a row without an answer, by host.
    std::map<framework::HostId, std::uint32_t> m_failures;
    std::unique_ptr<framework::ITimer> m_timer;
};

} // namespace lavendertally::entry
