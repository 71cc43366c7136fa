#pragma once

#include "framework/types/ids.h"
#include "peers/types/daemonaddress.h"

#include <cstddef>
#include <vector>

namespace lavendertally::peers {

/// Daemons at the head of the ranking that do work for all: they coordinate stages and read the
/// store. The first choice and two successors, so that the loss of two at once is borne.
constexpr std::size_t LeadingDaemons = 3;

/// Orders daemons by rendezvous hashing (Thaler and Ravishankar, 1998), so that all daemons agree
/// on the order and a change of one daemon leaves that of the others as it is.
/// \param others may hold \p self too
/// \return all daemons, the first choice first
std::vector<framework::DaemonId> rankDaemons(const framework::DaemonId &self,
                                             const std::vector<DaemonAddress> &others);

/// \return whether \p daemon is among the LeadingDaemons of \p ranking
bool isLeading(const std::vector<framework::DaemonId> &ranking, const framework::DaemonId &daemon);

} // namespace lavendertally::peers
