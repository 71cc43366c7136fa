#pragma once

#include "framework/types/ids.h"
#include "localfleet/types/fleetservice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lavendertally::localfleet {

/// What a local fleet consists of.
struct FleetOptions
{
    /// Folder of the built programs.
    std::string binaries;
    /// Folder for settings files and logs; made when missing.
    std::string workFolder;
    std::vector<framework::AvailabilityZoneId> zones;
    std::uint32_t entriesPerZone = 1;
    std::vector<FleetService> services;
    std::vector<std::string> logArguments;
    std::vector<std::string> hostListArguments;
};

} // namespace lavendertally::localfleet
