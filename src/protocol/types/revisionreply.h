#pragma once

#include "configuration/types/controlrecord.h"
#include "framework/types/ids.h"

#include <string>
#include <vector>

namespace lavendertally::protocol {

/// What a peer knows beyond the revision that it was asked about.
struct RevisionReply
{
    framework::DaemonId sender;
    framework::LogOffset revision;
    /// Serialized state of the configuration store; sent instead of records when the peer no
    /// longer keeps all records since the revision that was asked about.
    std::string snapshot;
    std::vector<configuration::ControlRecord> records;

    bool operator==(const RevisionReply &) const = default;
};

} // namespace lavendertally::protocol
