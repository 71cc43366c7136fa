#pragma once

#include "framework/types/ids.h"
#include "proxy/types/proxylimits.h"

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
class IRandom;
class IScheduler;
} // namespace lavendertally::framework

namespace lavendertally::admission {
class ICallLimits;
}

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::peers {
class IDaemonDirectory;
}

namespace lavendertally::quarantine {
class IPromptQuarantine;
}

namespace lavendertally::retry {
class IRetryPolicy;
}

namespace lavendertally::rollout {
class IRolloutObserver;
}

namespace lavendertally::routing {
class IBackendServerSelector;
}

namespace lavendertally::serving {
class IServingState;
}

namespace lavendertally::stages {
class IStageService;
}

namespace lavendertally::proxy {

class IBackendClient;

/// Dependencies of the proxy service; everything referenced must outlive it.
struct ProxyContext
{
    /// Availability zone of this daemon.
    framework::AvailabilityZoneId zone;
    const framework::IClock &clock;
    framework::IScheduler &scheduler;
    framework::ILogger &logger;
    framework::IMetrics &metrics;
    framework::IRandom &random;
    const serving::IServingState &serving;
    const membership::IBackendServers &servers;
    const peers::IDaemonDirectory &directory;
    routing::IBackendServerSelector &selector;
    retry::IRetryPolicy &retries;
    quarantine::IPromptQuarantine &quarantine;
    stages::IStageService &stages;
    IBackendClient &backends;
    ProxyLimits limits;
    /// Null if nothing but the slots of the backend servers limits the calls.
    const admission::ICallLimits *callLimits = nullptr;
    /// Hears what answers say of the versions of backend servers; null without rollouts.
    rollout::IRolloutObserver *rollouts = nullptr;
};

} // namespace lavendertally::proxy
