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

/// Detects frozen host processes, which keep their connections open. Probes each host process that
/// has left an idempotent call unanswered for a while. If the probes fail too, it reports the
/// failure to the host selector and ends those calls, so that they can be retried on another host.
class LivenessProbe
{
public:
    /// Starts probing. The arguments outlive this object.
    LivenessProbe(pipeline::IRequestService &requests, control::IDaemonControl &control,
                  const membership::IMembershipTracker &membership,
                  routing::IHostSelector &selector, framework::IScheduler &scheduler,
                  const framework::IClock &clock);
    ~LivenessProbe();
    LivenessProbe(const LivenessProbe &) = delete;
    LivenessProbe &operator=(const LivenessProbe &) = delete;

private:
    void check();
    void probeHost(const framework::HostId &host);
    void onProbeResult(const framework::HostId &host, bool answered);

    pipeline::IRequestService &m_requests;
    control::IDaemonControl &m_control;
    const membership::IMembershipTracker &m_membership;
    routing::IHostSelector &m_selector;
    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    /// Number of probes in a row that failed, by host.
    std::map<framework::HostId, std::uint32_t> m_consecutiveFailures;
    std::unique_ptr<framework::ITimer> m_timer;
};

} // namespace lavendertally::entry
