#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "membership/types/backendserverentry.h"

#include <optional>
#include <vector>

namespace lavendertally::proxy {

struct ClientRequest;

/// One attempt to run a client request on a backend server.
struct BackendRequest
{
    /// Not owned; read only within IBackendClient::send().
    const ClientRequest *request = nullptr;
    membership::BackendServerEntry server;
    /// Time until the request's deadline.
    framework::Milliseconds timeLeft;
    /// Team of the client; empty if the request was not authenticated.
    framework::TeamId team;
    /// Stage results that the request uses as inputs; no value if it ran no stages.
    std::optional<std::vector<framework::StageResultId>> inputs;
    /// Last event that the client has received; the response continues after it.
    std::optional<framework::StreamEventId> resumeAfter;
    /// Whether the request must not run twice. If so, it is not sent on a connection that has been
    /// idle for long: the backend server may be closing it, and the outcome would be unknown.
    bool atMostOnce = true;
    /// The backend server has answered an attempt of this request before; a copy of that answer on
    /// a connection that is kept could be taken for the new one.
    bool needsNewConnection = false;
};

} // namespace lavendertally::proxy
