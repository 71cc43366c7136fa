#pragma once

#include "configuration/internal/storedfile.h"
#include "configuration/types/operationoutcome.h"
#include "framework/types/ids.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace lavendertally::configuration {

/// Everything that a prefix of the control stream determines; what a snapshot holds.
struct ReplicaData
{
    /// Offset of the next record to apply.
    framework::LogOffset revision;
    std::map<std::string, StoredFile> files;
    /// Offset of the removal of files that are no more.
    std::map<std::string, framework::LogOffset> removedFiles;
    /// Removals before this offset are forgotten.
    framework::LogOffset removalsKnownFrom;
    std::set<framework::AvailabilityZoneId> zonesOutOfService;
    std::set<framework::HostId> hostsOutOfService;
    /// Oldest first.
    std::deque<OperationOutcome> outcomes;

    bool operator==(const ReplicaData &) const = default;
};

} // namespace lavendertally::configuration
