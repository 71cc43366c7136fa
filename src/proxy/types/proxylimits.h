#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstddef>
#include <cstdint>

namespace lavendertally::proxy {

/// Limits of the proxy service.
struct ProxyLimits
{
    /// Longest time since the configuration was last confirmed as the newest for which its API keys
    /// are accepted. Must be less than the time after which a revoked key must be rejected.
    framework::Milliseconds maxConfigurationAge{4000};
    /// Retry-after time given to a client whose request no backend server could take.
    framework::Milliseconds retryAfter{200};
    /// Size up to which the body of a response that is not streamed is kept until it is whole, so
    /// that the attempt can be repeated. A larger one is passed on as it arrives.
    framework::Bytes maxKeptBody{64 * 1024};
    /// Size from which such a body counts as broken; it may never end.
    framework::Bytes maxResponseBody{8 * 1024 * 1024};
    /// Failed connections after which one request may still try another backend server; each costs
    /// a round trip.
    std::uint32_t maxConnectFailures = 3;
    /// Teams with a value of their own in metrics.
    std::size_t maxTeamLabels = 32;
};

} // namespace lavendertally::proxy
