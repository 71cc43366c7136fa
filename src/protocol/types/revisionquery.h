#pragma once

#include "framework/types/ids.h"

namespace lavendertally::protocol {

/// Asks a peer for the configuration changes after the sender's revision.
struct RevisionQuery
{
    framework::DaemonId sender;
    framework::LogOffset revision;

    bool operator==(const RevisionQuery &) const = default;
};

} // namespace lavendertally::protocol
