#pragma once

#include "framework/types/ids.h"
#include "protocol/types/crashevidence.h"

#include <vector>

namespace lavendertally::protocol {

/// Asks a peer for the configuration changes after the sender's revision.
struct RevisionQuery
{
    framework::DaemonId sender;
    framework::LogOffset revision;
    /// Newest evidence about prompt parts that the sender knows; at most
    /// CrashEvidence::MaxInControlMessage.
    std::vector<CrashEvidence> evidence = {};
    /// Whether the sender wants such evidence with the answer.
    bool takesEvidence = false;

    bool operator==(const RevisionQuery &) const = default;
};

} // namespace lavendertally::protocol
