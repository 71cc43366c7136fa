#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"
#include "peers/types/daemonaddress.h"

namespace lavendertally::peers {

/// What a daemon registers about itself with the platform.
struct DaemonRegistration
{
    DaemonAddress address;
    /// Processor capacity that it may use; zero if it registered none.
    framework::Millicores capacity;
    /// Offset of its first registration, which a restart keeps.
    framework::LogOffset joined;
};

} // namespace lavendertally::peers
