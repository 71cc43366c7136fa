#pragma once

#include "configuration/types/objective.h"
#include "configuration/types/pipeline.h"
#include "configuration/types/service.h"
#include "configuration/types/team.h"
#include "framework/types/ids.h"

#include <map>
#include <set>

namespace lavendertally::configuration {

/// Merged and validated contents of all configuration files.
struct Configuration
{
    std::set<framework::AvailabilityZoneId> zones;
    std::map<framework::ServiceId, Service> services;
    std::map<framework::PipelineId, Pipeline> pipelines;
    std::map<framework::TeamId, Team> teams;
    Objective objective = Objective::Attainment;

    bool operator==(const Configuration &) const = default;
};

} // namespace lavendertally::configuration
