#pragma once

#include "configuration/types/daemonrole.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

namespace lavendertally::control {

/// Which revision a daemon had in force when this process last heard of it.
struct RevisionReport
{
    framework::DaemonId daemon;
    configuration::DaemonRole role = configuration::DaemonRole::Entry;
    framework::AvailabilityZoneId zone;
    framework::LogOffset revision;
    /// Time since the daemon was heard.
    framework::Milliseconds age;

    bool operator==(const RevisionReport &) const = default;
};

} // namespace lavendertally::control
