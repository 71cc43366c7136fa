#pragma once

#include "bench/internal/modelrequest.h"

#include <cstdint>
#include <vector>

namespace lavendertally::bench {

/// Load of the work bench.
struct ModelLoad
{
    double requestsPerSecond = 0.0;
    double durationMs = 0.0;
    std::size_t gateways = 26;
    std::uint64_t seed = 1;
};

/// \return requests of all gateways in the order of their arrival
std::vector<ModelRequest> drawModelRequests(const ModelLoad &load);

/// \return mean prompt tokens of a request that no other request shares
double meanOwnTokens();

} // namespace lavendertally::bench
