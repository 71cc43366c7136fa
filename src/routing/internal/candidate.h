#pragma once

#include "membership/types/backendserverentry.h"

#include <vector>

namespace lavendertally::routing {

class ServerState;

/// Backend server that a call may be sent to.
struct Candidate
{
    const membership::BackendServerEntry *entry = nullptr;
    ServerState *state = nullptr;
    /// Estimated calls there, as a fraction of its slots.
    double utilisation = 0.0;
};

using Candidates = std::vector<Candidate>;

} // namespace lavendertally::routing
