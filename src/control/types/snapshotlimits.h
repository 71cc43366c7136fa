#pragma once

#include "framework/types/milliseconds.h"

namespace lavendertally::control {

/// Schedule of snapshot records in the control stream.
struct SnapshotLimits
{
    /// Retention time of records in the log.
    framework::Milliseconds retention{3600000};
    /// A process that starts cannot tell the age of the records; it waits this long for a snapshot
    /// of another entry before its own may be due.
    framework::Milliseconds startDelay{60000};
    /// Time between the turns of consecutive entries; a short retention shortens it.
    framework::Milliseconds turnInterval{20000};
    framework::Milliseconds retryDelay{30000};
};

} // namespace lavendertally::control
