#pragma once

#include "control/types/revisionreport.h"
#include "membership/types/hoststatus.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace lavendertally::control {

nlohmann::json dumpReports(const std::vector<RevisionReport> &reports);
nlohmann::json dumpHosts(const std::vector<membership::HostStatus> &hosts);

} // namespace lavendertally::control
