#pragma once

#include "framework/types/ids.h"
#include "serving/types/requestlimits.h"
#include "serving/types/route.h"
#include "serving/types/servicespec.h"
#include "serving/types/teamentry.h"

#include <optional>
#include <vector>

namespace lavendertally::configurationcheck {

/// A configuration as it was written, before it is known to be valid. Unlike a
/// serving::ServingConfiguration it keeps duplicates and the order of the file.
struct ConfigurationDraft
{
    framework::ConfigurationVersion version;
    std::vector<serving::Route> routes;
    std::vector<serving::ServiceSpec> services;
    serving::RequestLimits limits;
    /// Nothing if the configuration has no list of teams; requests need no API key then.
    std::optional<std::vector<serving::TeamEntry>> teams;
};

} // namespace lavendertally::configurationcheck
