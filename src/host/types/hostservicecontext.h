#pragma once

#include "framework/types/ids.h"

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
class IScheduler;
} // namespace lavendertally::framework

namespace lavendertally::accounting {
class ICostLedger;
}

namespace lavendertally::admission {
class IAdmissionController;
}

namespace lavendertally::backends {
class IBackendServerFactory;
}

namespace lavendertally::configuration {
class IConfigurationStore;
}

namespace lavendertally::membership {
class IAdmissionGate;
}

namespace lavendertally::host {

class IEntryListener;

/// Dependencies of IHostService, which all outlive it.
struct HostServiceContext
{
    framework::HostId host;
    framework::ServiceId service;
    framework::IClock &clock;
    framework::IScheduler &scheduler;
    framework::ILogger &logger;
    framework::IMetrics &metrics;
    configuration::IConfigurationStore &configuration;
    accounting::ICostLedger &costs;
    admission::IAdmissionController &admission;
    membership::IAdmissionGate &gate;
    backends::IBackendServerFactory &backends;
    IEntryListener &entryListener;
};

} // namespace lavendertally::host
