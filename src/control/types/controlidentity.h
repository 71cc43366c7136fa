#pragma once

#include "configuration/types/daemonrole.h"
#include "framework/types/ids.h"

namespace lavendertally::control {

/// Identity, location and role of this process.
struct ControlIdentity
{
    framework::DaemonId daemon;
    framework::HostId host;
    framework::AvailabilityZoneId zone;
    configuration::DaemonRole role = configuration::DaemonRole::Entry;
};

} // namespace lavendertally::control
