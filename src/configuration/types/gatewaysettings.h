#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::configuration {

/// Settings that only a gateway has.
struct GatewaySettings
{
    /// Where it tells the balancer whether it takes requests.
    framework::Endpoint readyListen;
    /// Where it shows metrics and its state.
    framework::Endpoint metricsListen;
    framework::Endpoint store;
    /// Time after which a revoked key must not work any more.
    framework::Milliseconds revocationLimit{5000};
    /// Time between the order to stop and the end of the process.
    framework::Milliseconds shutdownGrace{8000};
    /// Retries that all gateways together may send to a service at once, beyond a part of the fresh
    /// requests.
    std::uint32_t sharedRetries = 50;
};

} // namespace lavendertally::configuration
