#pragma once

#include <cstddef>

namespace lavendertally::peers {

/// Daemons at the head of the ranking, of those that can be reached, to which each daemon keeps
/// links: the coordinator of stages and two successors, so that the loss of two at once is borne.
constexpr std::size_t LeadingDaemons = 3;
} // namespace lavendertally::peers
