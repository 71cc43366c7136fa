#pragma once

#include "configuration/types/configuration.h"
#include "framework/types/ids.h"

#include <set>

namespace lavendertally::configuration {

/// Immutable state of the configuration at one revision of the control stream.
struct ConfigurationView
{
    /// Offset just past the last applied record; zero before the first.
    framework::LogOffset revision;
    Configuration configuration;
    std::set<framework::AvailabilityZoneId> zonesOutOfService;
    std::set<framework::HostId> hostsOutOfService;
};

} // namespace lavendertally::configuration
