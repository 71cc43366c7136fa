#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "membership/types/hostrole.h"
#include "membership/types/hoststate.h"

namespace lavendertally::membership {

/// One row of the platform's host list.
struct HostEntry
{
    framework::HostId id;
    framework::AvailabilityZoneId zone;
    HostRole role = HostRole::Backend;
    HostState state = HostState::Live;
    /// Service of its backend server; empty for entry hosts.
    framework::ServiceId service;
    /// HTTP endpoint of its daemon: for stage calls on a backend host, for clients on an entry
    /// host.
    framework::Endpoint http;
    /// Endpoint of its daemon for control messages.
    framework::Endpoint control;

    bool operator==(const HostEntry &) const = default;
};

} // namespace lavendertally::membership
