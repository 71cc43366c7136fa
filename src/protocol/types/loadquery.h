#pragma once

#include "framework/types/ids.h"

namespace lavendertally::protocol {

/// Probe that asks a host process for its load. The answer is a LoadReport.
struct LoadQuery
{
    framework::DaemonId sender;
    /// Configuration revision of the sender.
    framework::LogOffset revision;

    bool operator==(const LoadQuery &) const = default;
};

} // namespace lavendertally::protocol
