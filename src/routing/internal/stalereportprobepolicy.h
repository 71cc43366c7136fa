#pragma once

#include "routing/internal/backendhosttable.h"
#include "routing/iprobepolicy.h"

#include <memory>

namespace lavendertally::routing {

/// Probes those hosts of the derived subsets whose last report or probe is the oldest.
class StaleReportProbePolicy final : public IProbePolicy
{
public:
    explicit StaleReportProbePolicy(std::shared_ptr<BackendHostTable> table);

    std::vector<membership::HostEntry> hostsToProbe(framework::TimePoint now) override;

private:
    bool isDue(const BackendHostState &state, framework::TimePoint now) const;

    std::shared_ptr<BackendHostTable> m_table;
};

} // namespace lavendertally::routing
