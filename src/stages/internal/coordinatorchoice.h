#pragma once

#include "framework/types/ids.h"
#include "stages/internal/coordinatorcandidate.h"

#include <optional>
#include <vector>

namespace lavendertally::stages {

/// Chooses the usable daemon with the longest uptime, so that a restarted daemon does not take the
/// role back; among daemons that started together, the first one in the ranking.
/// \param candidates in the order of the ranking that all daemons share
/// \param current coordinator so far, or empty
/// \return nothing if no daemon is usable, or if the current coordinator is not usable and a daemon
/// in its startup grace precedes all usable ones in the ranking
std::optional<framework::DaemonId>
chooseCoordinator(const std::vector<CoordinatorCandidate> &candidates,
                  const framework::DaemonId &current);

} // namespace lavendertally::stages
