#pragma once

#include <cstdint>
#include <string>

namespace lavendertally::routing {

/// \return hash of \p name, the same in every process
std::uint64_t hashName(const std::string &name);

/// Score of a pair in rendezvous hashing, where the candidates with the highest scores are chosen
/// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998).
std::uint64_t rendezvousScore(std::uint64_t first, std::uint64_t second);

} // namespace lavendertally::routing
