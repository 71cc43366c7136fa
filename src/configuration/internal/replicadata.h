#pragma once

#include "configuration/internal/storedfile.h"
#include "configuration/types/operationoutcome.h"
#include "framework/types/ids.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace lavendertally::configuration {

/// State determined by a prefix of the control stream; the contents of a snapshot.
struct ReplicaData
{
    /// Offset of the next record to apply.
    framework::LogOffset revision;
    std::map<std::string, StoredFile> files;
    /// Offset of the removal, by name of the removed file.
    std::map<std::string, framework::LogOffset> removedFiles;
    /// Removals before this offset are no longer known.
    framework::LogOffset removalHistoryStart;
    std::set<framework::AvailabilityZoneId> zonesOutOfService;
    std::set<framework::HostId> hostsOutOfService;
    /// Oldest first.
    std::deque<OperationOutcome> outcomes;

    bool operator==(const ReplicaData &) const = default;
};

} // namespace lavendertally::configuration
