#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::configuration {

/// Settings of the gateway role.
struct GatewaySettings
{
    /// Endpoint of the readiness probe of the load balancer.
    framework::Endpoint readyListen;
    /// Endpoint that exports metrics and the state of the gateway.
    framework::Endpoint metricsListen;
    framework::Endpoint store;
    /// Longest time for which a revoked API key may still be accepted.
    framework::Milliseconds revocationLimit{5000};
    /// Time from the request to shut down until the process exits.
    framework::Milliseconds shutdownGrace{8000};
    /// Retry budget: concurrent retries that all gateways together may send to a service, in
    /// addition to a ratio of its first attempts.
    std::uint32_t sharedRetries = 50;
    /// Processor capacity that the gateway may use. Gateways with more of it do the tasks that one
    /// gateway does for all.
    framework::Millicores processorShare{1000};
    /// Largest share of a service's requests that a bad new version may get during a rollout; zero
    /// means that there are no rollouts.
    double exposureShare = 0.0;
    /// Requests allowed on top of that share.
    std::uint32_t exposureSlack = 0;
    /// Time after the 50th bad answer of a new version within which requests to it end.
    framework::Milliseconds rollbackLimit{5000};
};

} // namespace lavendertally::configuration
