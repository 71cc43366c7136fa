#pragma once

#include "routing/internal/workertable.h"
#include "routing/iprobepolicy.h"

#include <memory>

namespace lavendertally::routing {

/// Probes the backend servers of the subset of which the entry knows least.
class StaleReportProbes final : public IProbePolicy
{
public:
    explicit StaleReportProbes(std::shared_ptr<WorkerTable> table);

    std::vector<membership::HostEntry> hostsToProbe(framework::TimePoint now) override;

private:
    bool isDue(const WorkerState &state, framework::TimePoint now) const;

    std::shared_ptr<WorkerTable> m_table;
};

} // namespace lavendertally::routing
