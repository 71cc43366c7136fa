#include "entry/internal/livenessprobe.h"

#include "control/idaemoncontrol.h"
#include "framework/iclock.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "membership/imembershiptracker.h"
#include "pipeline/irequestservice.h"
#include "routing/ihostselector.h"

namespace lavendertally::entry {

namespace {

constexpr framework::Milliseconds CheckInterval{400};
/// A call that is answered sooner causes no probe of its host.
constexpr framework::Milliseconds MinWaitBeforeProbe{300};
/// Shorter than CheckInterval, so that a host has at most one probe in flight.
constexpr framework::Milliseconds ProbeTimeout{350};
/// Failed probes in a row after which a host process counts as unresponsive.
constexpr std::uint32_t FailureThreshold = 2;

} // namespace

LivenessProbe::LivenessProbe(pipeline::IRequestService &requests, control::IDaemonControl &control,
                             const membership::IMembershipTracker &membership,
                             routing::IHostSelector &selector, framework::IScheduler &scheduler,
                             const framework::IClock &clock)
    : m_requests(requests), m_control(control), m_membership(membership), m_selector(selector),
      m_scheduler(scheduler), m_clock(clock)
{
    check();
}

LivenessProbe::~LivenessProbe() = default;

void LivenessProbe::check()
{
    const std::set<framework::HostId> awaited =
        m_requests.awaitedHosts(m_clock.now() - MinWaitBeforeProbe);
    std::erase_if(m_consecutiveFailures,
                  [&](const auto &item) { return !awaited.contains(item.first); });
    for (const framework::HostId &host : awaited) {
        probeHost(host);
    }
    m_timer = m_scheduler.callAfter(CheckInterval, [this] { check(); });
}

void LivenessProbe::probeHost(const framework::HostId &host)
{
    const auto entry = m_membership.find(host);
    if (!entry) {
        return;
    }
    m_control.probeLoad(entry->control, ProbeTimeout,
                        [this, host](const framework::Result<protocol::LoadReport> &report) {
                            onProbeResult(host, static_cast<bool>(report));
                        });
}

void LivenessProbe::onProbeResult(const framework::HostId &host, bool answered)
{
    if (answered) {
        m_consecutiveFailures.erase(host);
        return;
    }
    if (++m_consecutiveFailures[host] < FailureThreshold) {
        return;
    }
    m_consecutiveFailures.erase(host);
    m_selector.observeFailure(host, m_clock.now());
    m_requests.endCallsTo(host);
}

} // namespace lavendertally::entry
