#pragma once

#include "configuration/types/daemonrole.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

namespace lavendertally::control {

/// Which revision one daemon had in force when it was last heard.
struct RevisionReport
{
    framework::DaemonId daemon;
    configuration::DaemonRole role = configuration::DaemonRole::Host;
    /// Empty while the host list does not name the daemon.
    framework::AvailabilityZoneId zone;
    framework::LogOffset revision;
    /// Time since it was heard.
    framework::Milliseconds age;

    bool operator==(const RevisionReport &) const = default;
};

} // namespace lavendertally::control
