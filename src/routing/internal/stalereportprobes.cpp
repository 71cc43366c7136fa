#include "routing/internal/stalereportprobes.h"

#include "membership/imembership.h"

#include <algorithm>
#include <utility>

namespace lavendertally::routing {

StaleReportProbes::StaleReportProbes(std::shared_ptr<WorkerTable> table) : m_table(std::move(table))
{ }

std::vector<membership::HostEntry> StaleReportProbes::hostsToProbe(framework::TimePoint now)
{
    std::vector<const WorkerTable::Worker *> due;
    for (const auto &[service, workers] : m_table->services()) {
        for (const WorkerTable::Worker &worker : workers) {
            const membership::HostEntry &host = worker.host;
            if (isDue(*worker.state, now)
                && m_table->membership().mayReceiveWork(host.id, host.zone)) {
                due.push_back(&worker);
            }
        }
    }
    const std::size_t count = std::min<std::size_t>(due.size(), m_table->limits().maxProbes);
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
                      [](const WorkerTable::Worker *a, const WorkerTable::Worker *b) {
                          return std::max(a->state->reported(), a->state->probed())
                              < std::max(b->state->reported(), b->state->probed());
                      });
    std::vector<membership::HostEntry> hosts;
    for (std::size_t index = 0; index < count; ++index) {
        due[index]->state->setProbed(now);
        hosts.push_back(due[index]->host);
    }
    return hosts;
}

bool StaleReportProbes::isDue(const WorkerState &state, framework::TimePoint now) const
{
    const HostSelectorSettings &limits = m_table->limits();
    const bool uncertain = state.isCold() || state.isSuspect();
    const framework::Milliseconds age = uncertain ? limits.coldReportLifetime : limits.probeAge;
    return now - std::max(state.reported(), state.probed()) >= age;
}

} // namespace lavendertally::routing
