#pragma once

#include "soak/internal/plannedfault.h"
#include "soak/internal/soakoptions.h"

#include <vector>

namespace lavendertally::soak {

/// \return the faults of a run in order of time; the same for the same options
std::vector<PlannedFault> makeFaultPlan(const SoakOptions &options);

} // namespace lavendertally::soak
