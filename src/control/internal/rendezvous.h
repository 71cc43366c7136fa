#pragma once

#include <cstdint>
#include <string>

namespace lavendertally::control {

/// Weight of \p node for \p key in rendezvous hashing (Thaler and Ravishankar, "Using Name-Based
/// Mappings to Increase Hit Rates", 1998): the nodes of greatest weight serve the key.
std::uint64_t rendezvousWeight(const std::string &key, const std::string &node);

} // namespace lavendertally::control
