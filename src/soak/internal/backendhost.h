#pragma once

#include "soak/internal/loopbackproxy.h"
#include "standins/platformserverstandin.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lavendertally::soak {

/// A stand-in of a backend server behind a proxy.
struct BackendHost
{
    std::string id;
    std::string service;
    std::string zone;
    std::string version;
    /// Counts starts of servers.
    std::uint64_t born = 0;
    std::unique_ptr<standins::PlatformServerStandIn> server;
    std::unique_ptr<LoopbackProxy> link;
    bool isRegistered = true;
};

} // namespace lavendertally::soak
