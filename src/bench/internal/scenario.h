#pragma once

#include "bench/internal/span.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::bench {

/// Load and faults of one run. Everything starts cold at zero; what arrives before measured.start
/// is not judged.
struct Scenario
{
    std::string name;
    /// Load as a part of capacity by time since the start.
    std::function<double(framework::Milliseconds)> load;
    Span measured;
    /// When the fault or the overload lasts.
    Span disturbance;
    std::optional<framework::AvailabilityZoneId> zoneOut;
    std::optional<framework::ServiceId> slowService;
};

/// \return all scenarios
std::vector<Scenario> makeScenarios();

} // namespace lavendertally::bench
