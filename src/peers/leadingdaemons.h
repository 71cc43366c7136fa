#pragma once

#include <cstddef>

namespace lavendertally::peers {

/// Number of reachable daemons at the head of the ranking to which each daemon maintains links: the
/// coordinator of stages and two successors, so that two may fail at once.
constexpr std::size_t LeadingDaemons = 3;

} // namespace lavendertally::peers
