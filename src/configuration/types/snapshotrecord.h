#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lavendertally::configuration {

/// Snapshot of the state, appended to the control stream so that new readers can start from it once
/// older records have expired.
struct SnapshotRecord
{
    /// Revision of the state; not greater than the offset of this record.
    framework::LogOffset revision;
    /// What IConfigurationReplica::snapshot() returned.
    std::string state;

    bool operator==(const SnapshotRecord &) const = default;
};

} // namespace lavendertally::configuration
