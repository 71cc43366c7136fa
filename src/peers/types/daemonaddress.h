#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"

namespace lavendertally::peers {

/// Endpoint on which a daemon accepts links from other daemons.
struct DaemonAddress
{
    framework::DaemonId daemon;
    framework::Endpoint endpoint;

    bool operator==(const DaemonAddress &) const = default;
};

} // namespace lavendertally::peers
