#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstddef>
#include <cstdint>

namespace lavendertally::ratelimit {

/// \return how long a permit for a backend server that names \p rate may be used, counted from when
/// it was asked for. Where permits are few, they may wait longer for a request.
constexpr framework::Milliseconds permitLifetime(framework::RequestRate rate)
{
    constexpr framework::RequestRate LowRate{6000};
    return framework::Milliseconds(rate <= LowRate ? 2000 : 1000);
}

/// Bounds of what is kept of the rate limits of backend servers.
struct RateLimitLimits
{
    /// Backend servers that are remembered; the one that was heard of longest ago gives way.
    std::size_t maxServers = 1024;
    /// A limit that no answer has repeated for this long is forgotten.
    framework::Milliseconds lifetime{60000};
    /// Permits that are asked for at once, for one backend server.
    std::uint32_t maxWanted = 100;
};

} // namespace lavendertally::ratelimit
