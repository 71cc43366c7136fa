#pragma once

#include "peers/internal/linkcandidate.h"

#include <cstddef>
#include <vector>

namespace lavendertally::peers {

/// Decides how far down the ranking a daemon links others: to where LeadingDaemons daemons may take
/// jobs and one may be informed. Daemons that are reachable and take no jobs, as while they shut
/// down, or that the store has turned away, leave their place to the next ones. Answers the load of
/// restarts and partial outages in a large fleet, where each daemon would otherwise coordinate its
/// own stages and read the store for itself.
/// \param ranking all daemons in order, this one included
/// \param maxReachable largest number of reachable daemons among those that are linked
/// \return number of daemons at the head of the ranking
std::size_t linkDepth(const std::vector<LinkCandidate> &ranking, std::size_t maxReachable);

} // namespace lavendertally::peers
