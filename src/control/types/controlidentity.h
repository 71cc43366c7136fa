#pragma once

#include "configuration/types/daemonrole.h"
#include "framework/types/ids.h"

namespace lavendertally::control {

/// Who this process is towards other daemons.
struct ControlIdentity
{
    framework::DaemonId daemon;
    framework::HostId host;
    framework::AvailabilityZoneId zone;
    configuration::DaemonRole role = configuration::DaemonRole::Entry;
};

} // namespace lavendertally::control
