#pragma once

#include "configuration/types/controlrecord.h"
#include "framework/types/ids.h"
#include "protocol/types/crashevidence.h"

#include <string>
#include <vector>

namespace lavendertally::protocol {

/// Answer to a RevisionQuery: configuration changes after the revision in the query.
struct RevisionReply
{
    framework::DaemonId sender;
    /// Configuration revision of the sender.
    framework::LogOffset revision;
    /// Serialized state of the configuration store; sent instead of records if the sender no longer
    /// has all records since the revision in the query.
    std::string snapshot;
    std::vector<configuration::ControlRecord> records;
    /// As in the query; empty unless the query asks for it.
    std::vector<CrashEvidence> evidence = {};

    bool operator==(const RevisionReply &) const = default;
};

} // namespace lavendertally::protocol
