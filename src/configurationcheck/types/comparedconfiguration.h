#pragma once

#include "configurationcheck/types/comparedteam.h"
#include "framework/types/ids.h"
#include "serving/types/requestlimits.h"
#include "serving/types/route.h"
#include "serving/types/servicespec.h"

#include <optional>
#include <vector>

namespace lavendertally::configurationcheck {

/// What two versions of a configuration are compared by; without API keys.
struct ComparedConfiguration
{
    framework::ConfigurationVersion version;
    std::vector<serving::Route> routes;
    std::vector<serving::ServiceSpec> services;
    serving::RequestLimits limits;
    /// Nothing if requests need no API key.
    std::optional<std::vector<ComparedTeam>> teams;
};

} // namespace lavendertally::configurationcheck
