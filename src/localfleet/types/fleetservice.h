#pragma once

#include "framework/types/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lavendertally::localfleet {

/// One service of a local fleet and the stand-in that serves it.
struct FleetService
{
    framework::ServiceId id;
    /// Program of the stand-in, such as `standinpool`.
    std::string program;
    std::vector<std::string> arguments;
    std::uint32_t backendsPerZone = 1;
};

} // namespace lavendertally::localfleet
