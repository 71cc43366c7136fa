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
/// Calls that are answered sooner cost no question.
constexpr framework::Milliseconds Patience{300};
/// Shorter than the interval, so that one host has one question under way.
constexpr framework::Milliseconds AnswerTimeout{350};
constexpr std::uint32_t MaxFailures = 2;

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
    const std::set<framework::HostId> awaited = m_requests.awaitedHosts(m_clock.now() - Patience);
    std::erase_if(m_failures, [&](const auto &item) { return !awaited.contains(item.first); });
    for (const framework::HostId &host : awaited) {
        ask(host);
    }
    m_timer = m_scheduler.callAfter(CheckInterval, [this] { check(); });
}

void LivenessProbe::ask(const framework::HostId &host)
{
    const auto entry = m_membership.find(host);
    if (!entry) {
        return;
    }
    m_control.probeLoad(entry->control, AnswerTimeout,
                        [this, host](const framework::Result<protocol::LoadReport> &report) {
                            onAnswer(host, static_cast<bool>(report));
                        });
}

void LivenessProbe::onAnswer(const framework::HostId &host, bool answered)
{
    if (answered) {
        m_failures.erase(host);
        return;
    }
    if (++m_failures[host] < MaxFailures) {
        return;
    }
    m_failures.erase(host);
    m_selector.observeFailure(host, m_clock.now());
    m_requests.endCallsTo(host);
}

} // namespace lavendertally::entry
