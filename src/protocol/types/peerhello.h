#pragma once

#include "framework/types/ids.h"

namespace lavendertally::protocol {

/// First message on a link between two daemons.
struct PeerHello
{
    framework::DaemonId daemon;

    bool operator==(const PeerHello &) const = default;
};

} // namespace lavendertally::protocol
