#pragma once

#include <cstddef>
#include <vector>

namespace lavendertally::framework {

/// \param predecessors for each position, those that have to come before it; positions that do not
/// exist are ignored
/// \return the positions, each after its predecessors and otherwise in rising order; those that
/// wait for a cycle are left out
std::vector<std::size_t> dependencyOrder(const std::vector<std::vector<std::size_t>> &predecessors);

/// \param predecessors as for dependencyOrder()
/// \return the positions of one cycle, the lowest first; empty if there is none
std::vector<std::size_t>
findDependencyCycle(const std::vector<std::vector<std::size_t>> &predecessors);

} // namespace lavendertally::framework
