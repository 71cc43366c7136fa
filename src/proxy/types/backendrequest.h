#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "membership/types/backendserverentry.h"

#include <optional>
#include <vector>

namespace lavendertally::proxy {

struct ClientRequest;

/// One attempt to have a request run by a backend server.
struct BackendRequest
{
    /// Must live as long as the call is being started.
    const ClientRequest *request = nullptr;
    membership::BackendServerEntry server;
    framework::Milliseconds timeLeft;
    /// Team of the client; empty if there is none.
    framework::TeamId team;
    /// Results of the stages; nothing if the route has no stages.
    std::optional<std::vector<framework::StageResultId>> inputs;
    /// Last event that the client has.
    std::optional<framework::StreamEventId> resumeAfter;
    /// Whether it may run once at most, so that a connection which may have gone stale is no good.
    bool atMostOnce = true;
};

} // namespace lavendertally::proxy
