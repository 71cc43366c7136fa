#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lavendertally::configuration {

/// State written to the control stream again, so that readers can start there once older records
/// have expired.
struct SnapshotRecord
{
    /// Revision of the state; at most the offset of the record itself.
    framework::LogOffset revision;
    /// What IConfigurationReplica::snapshot() returned.
    std::string state;

    bool operator==(const SnapshotRecord &) const = default;
};

} // namespace lavendertally::configuration
