#include "control/internal/controldump.h"

#include <nlohmann/json.hpp>

namespace lavendertally::control {

namespace {

const char *nameOf(membership::HostExclusion exclusion)
{
    switch (exclusion) {
    case membership::HostExclusion::None:
        return "none";
    case membership::HostExclusion::Leaving:
        return "leaving";
    case membership::HostExclusion::ZoneOut:
        return "zone_out";
    case membership::HostExclusion::HostOut:
        return "host_out";
    case membership::HostExclusion::Refused:
        return "refused";
    }
    return "unknown";
}

} // namespace

nlohmann::json dumpReports(const std::vector<RevisionReport> &reports)
{
    nlohmann::json result = nlohmann::json::array();
    for (const RevisionReport &report : reports) {
        const bool isEntry = report.role == configuration::DaemonRole::Entry;
        result.push_back({{"daemon", report.daemon.value()},
                          {"role", isEntry ? "entry" : "host"},
                          {"availability_zone", report.zone.value()},
                          {"revision", report.revision.value()},
                          {"age_ms", report.age.value()}});
    }
    return result;
}

nlohmann::json dumpHosts(const std::vector<membership::HostStatus> &hosts)
{
    nlohmann::json result = nlohmann::json::array();
    for (const membership::HostStatus &host : hosts) {
        result.push_back({{"host", host.entry.id.value()},
                          {"availability_zone", host.entry.zone.value()},
                          {"service", host.entry.service.value()},
                          {"barrier", nameOf(host.exclusion)}});
    }
    return result;
}

} // namespace lavendertally::control
