#pragma once

#include "framework/types/ids.h"
#include "localfleet/types/fleetservice.h"
#include "localfleet/types/workload.h"

#include <string>
#include <vector>

namespace lavendertally::demo {

/// One organisation of the demo: its sample configuration and the workloads it names.
struct DemoUser
{
    std::string name;
    /// Folder of its configuration files, below the repository.
    std::string samples;
    std::vector<framework::AvailabilityZoneId> zones;
    std::vector<localfleet::FleetService> services;
    std::vector<localfleet::Workload> workloads;
    /// Service whose effects are counted.
    framework::ServiceId ledgerService;
    /// Pipeline that may not be repeated.
    framework::PipelineId ledgerPipeline;
};

} // namespace lavendertally::demo
