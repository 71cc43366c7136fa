#pragma once

#include "framework/types/ids.h"
#include "protocol/types/rolloutevidence.h"

#include <map>
#include <utility>

namespace lavendertally::rollout {

/// Evidence by route, and by whether the order's target gave the answers.
using EvidenceTotals = std::map<std::pair<framework::RouteId, bool>, protocol::RolloutEvidence>;

/// Adds the counts of \p added, which has the same route and version.
inline void addEvidence(protocol::RolloutEvidence &total, const protocol::RolloutEvidence &added)
{
    total.answers += added.answers;
    total.failures += added.failures;
    for (std::size_t index = 0; index < total.times.size(); ++index) {
        total.times[index] += added.times[index];
    }
}

} // namespace lavendertally::rollout
