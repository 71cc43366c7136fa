#pragma once

#include "framework/types/ids.h"

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
class IScheduler;
} // namespace lavendertally::framework

namespace lavendertally::configuration {
class IConfigurationStore;
}

namespace lavendertally::routing {
class IHostSelector;
}

namespace lavendertally::retry {
class IRetryPolicy;
class IStageBudget;
} // namespace lavendertally::retry

namespace lavendertally::claims {
class IClaimService;
}

namespace lavendertally::quarantine {
class IPromptQuarantine;
}

namespace lavendertally::transport {
class IStageClient;
}

namespace lavendertally::pipeline {

class IHostListener;

/// Dependencies of the request service. All references outlive it.
struct PipelineContext
{
    framework::DaemonId self;
    framework::AvailabilityZoneId zone;
    framework::IClock &clock;
    framework::IScheduler &scheduler;
    framework::ILogger &logger;
    framework::IMetrics &metrics;
    configuration::IConfigurationStore &configuration;
    routing::IHostSelector &selector;
    retry::IRetryPolicy &retries;
    retry::IStageBudget &budgets;
    claims::IClaimService &claims;
    transport::IStageClient &stages;
    quarantine::IPromptQuarantine &quarantine;
    IHostListener &hosts;
};

} // namespace lavendertally::pipeline
