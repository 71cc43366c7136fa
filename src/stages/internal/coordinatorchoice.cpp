#include "stages/internal/coordinatorchoice.h"

#include <algorithm>

namespace lavendertally::stages {

namespace {

/// Daemons whose start times differ by no more than this count as started together.
constexpr framework::Milliseconds SimultaneousStartWindow{2000};

} // namespace

std::optional<framework::DaemonId>
chooseCoordinator(const std::vector<CoordinatorCandidate> &candidates,
                  const framework::DaemonId &current)
{
    const CoordinatorCandidate *best = nullptr;
    bool isUnknownAhead = false;
    bool isCurrentUsable = false;
    for (const CoordinatorCandidate &candidate : candidates) {
        isUnknownAhead = isUnknownAhead || (candidate.isInStartupGrace && best == nullptr);
        if (!candidate.isUsable) {
            continue;
        }
        isCurrentUsable = isCurrentUsable || candidate.daemon == current;
        if (best == nullptr || candidate.start + SimultaneousStartWindow < best->start) {
            best = &candidate;
        }
    }
    if (best == nullptr || (isUnknownAhead && !isCurrentUsable)) {
        return std::nullopt;
    }
    return best->daemon;
}

} // namespace lavendertally::stages
