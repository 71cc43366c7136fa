#include "routing/internal/stalereportprobepolicy.h"

#include "membership/imembership.h"

#include <algorithm>
#include <utility>

namespace lavendertally::routing {

StaleReportProbePolicy::StaleReportProbePolicy(std::shared_ptr<BackendHostTable> table)
    : m_table(std::move(table))
{ }

std::vector<membership::HostEntry> StaleReportProbePolicy::hostsToProbe(framework::TimePoint now)
{
    std::vector<const BackendHostTable::BackendHost *> due;
    for (const auto &[service, backends] : m_table->services()) {
        for (const BackendHostTable::BackendHost &backend : backends) {
            const membership::HostEntry &host = backend.host;
            if (isDue(*backend.state, now)
                && m_table->membership().mayReceiveWork(host.id, host.zone)) {
                due.push_back(&backend);
            }
        }
    }
    const std::size_t count = std::min<std::size_t>(due.size(), m_table->settings().maxProbes);
    std::partial_sort(
        due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
        [](const BackendHostTable::BackendHost *a, const BackendHostTable::BackendHost *b) {
            return std::max(a->state->reportedAt(), a->state->probedAt())
                < std::max(b->state->reportedAt(), b->state->probedAt());
        });
    std::vector<membership::HostEntry> hosts;
    for (std::size_t index = 0; index < count; ++index) {
        due[index]->state->setProbedAt(now);
        hosts.push_back(due[index]->host);
    }
    return hosts;
}

bool StaleReportProbePolicy::isDue(const BackendHostState &state, framework::TimePoint now) const
{
    const HostSelectorSettings &settings = m_table->settings();
    const bool uncertain = state.isCold() || state.hasRecentFailures();
    const framework::Milliseconds age = uncertain ? settings.coldReportLifetime : settings.probeAge;
    return now - std::max(state.reportedAt(), state.probedAt()) >= age;
}

} // namespace lavendertally::routing
