#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>

namespace lavendertally::proxy {

/// Parameters of forwarding.
struct ProxyLimits
{
    /// Age of the confirmation of the configuration up to which keys are accepted; less than the
    /// time after which a revoked key must not work any more.
    framework::Milliseconds maxConfigurationAge{4000};
    /// When a client may come back that no backend server could take.
    framework::Milliseconds retryAfter{200};
    /// Connections that could not be made before a request is given up; each costs a round trip.
    std::uint32_t maxConnectFailures = 3;
};

} // namespace lavendertally::proxy
