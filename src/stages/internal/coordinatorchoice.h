#pragma once

#include "framework/types/ids.h"
#include "stages/internal/coordinatorcandidate.h"

#include <optional>
#include <vector>

namespace lavendertally::stages {

/// Chooses the daemon that has been up longest, so that one that was restarted does not take the
/// jobs back; among those that started together the first in the common order.
/// \param candidates in the order that all daemons share
/// \param current daemon that coordinates now, or empty
/// \return nothing if none is usable, or while one that might come first cannot be judged and the
/// current one is gone
std::optional<framework::DaemonId>
chooseCoordinator(const std::vector<CoordinatorCandidate> &candidates,
                  const framework::DaemonId &current);

} // namespace lavendertally::stages
