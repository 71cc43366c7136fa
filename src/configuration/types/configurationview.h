#pragma once

#include "configuration/types/configuration.h"
#include "framework/types/ids.h"

#include <set>

namespace lavendertally::configuration {

/// Everything that one prefix of the control stream agrees on.
struct ConfigurationView
{
    /// Offset just past the last record that was read; zero before any.
    framework::LogOffset revision;
    Configuration configuration;
    std::set<framework::AvailabilityZoneId> zonesOutOfService;
    std::set<framework::HostId> hostsOutOfService;
};

} // namespace lavendertally::configuration
