#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/units.h"
#include "http/types/httpclientoptions.h"

namespace lavendertally::connections {
class IConnectionShares;
}

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class ILogger;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::membership {
class IBackendServerUpdates;
}

namespace lavendertally::serving {
class IServingUpdates;
}

namespace lavendertally::platform {

/// What the adapter to the platform works with; everything outlives it.
struct PlatformParts
{
    framework::DaemonId self;
    /// Processor capacity of this daemon.
    framework::Millicores capacity;
    framework::Endpoint store;
    framework::IEventLoop &loop;
    const framework::IClock &clock;
    framework::ILogger &logger;
    framework::IMetrics &metrics;
    serving::IServingUpdates &serving;
    membership::IBackendServerUpdates &servers;
    connections::IConnectionShares &connections;
    /// Idle connections to backend servers that are kept for reuse.
    std::size_t maxIdleConnections = http::HttpClientOptions().maxIdleConnections;
};

} // namespace lavendertally::platform
