#pragma once

#include "configuration/types/daemonrole.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

namespace lavendertally::control {

/// Revision in force in a daemon when this process last received it from the daemon.
struct RevisionReport
{
    framework::DaemonId daemon;
    configuration::DaemonRole role = configuration::DaemonRole::Entry;
    framework::AvailabilityZoneId zone;
    framework::LogOffset revision;
    /// Time since the revision was received.
    framework::Milliseconds age;

    bool operator==(const RevisionReport &) const = default;
};

} // namespace lavendertally::control
