#pragma once

#include "framework/types/milliseconds.h"

namespace lavendertally::control {

/// When the state is written to the log again.
struct SnapshotLimits
{
    /// How long the log keeps records.
    framework::Milliseconds retention{3600000};
    /// A process that starts cannot tell how old the records are; it waits this long for the
    /// snapshot of another one and then writes its own.
    framework::Milliseconds startDelay{60000};
    /// Time between the turns of two entries.
    framework::Milliseconds turn{20000};
    framework::Milliseconds retryDelay{30000};
};

} // namespace lavendertally::control
