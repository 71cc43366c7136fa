#pragma once

#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>

namespace lavendertally::routing {

/// Outstanding work and speed of one backend server, as the dump of state shows them.
struct ServerWorkView
{
    framework::BackendServerId server;
    /// Calls of this daemon that have not ended.
    std::uint32_t ownCalls = 0;
    /// Prompt tokens of these calls that are not read yet.
    framework::TokenCount unreadTokens;
    /// Output tokens that these calls are still expected to get.
    framework::TokenCount unwrittenTokens;
    /// Calls of other daemons, from the last report.
    std::uint32_t otherCalls = 0;
    /// Age of that report.
    framework::Milliseconds reportAge;
    /// Learned time of the server's work in percent of the average of its service.
    std::uint32_t readTimePercent = 100;
    std::uint32_t writeTimePercent = 100;
};

} // namespace lavendertally::routing
