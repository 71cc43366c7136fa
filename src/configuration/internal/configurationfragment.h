#pragma once

#include "configuration/internal/located.h"
#include "configuration/internal/stageuse.h"
#include "configuration/types/objective.h"
#include "configuration/types/pipeline.h"
#include "configuration/types/service.h"
#include "configuration/types/team.h"
#include "framework/types/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace lavendertally::configuration {

/// Declarations of one valid configuration file.
struct ConfigurationFragment
{
    std::string file;
    std::vector<Located<framework::AvailabilityZoneId>> zones;
    std::vector<Located<Service>> services;
    std::vector<Located<Pipeline>> pipelines;
    std::vector<Located<StageUse>> stageUses;
    std::vector<Located<Team>> teams;
    std::optional<Located<Objective>> objective;
};

} // namespace lavendertally::configuration
