#pragma once

#include "configuration/types/daemonrole.h"
#include "configuration/types/gatewaysettings.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/logformat.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <cstdint>
#include <vector>

namespace lavendertally::configuration {

/// Settings of one lavendertallyd process, from its settings file.
struct DaemonSettings
{
    DaemonRole role = DaemonRole::Entry;
    framework::DaemonId id;
    framework::HostId host;
    framework::AvailabilityZoneId zone;
    /// Endpoint of the HTTP server; port zero lets the kernel choose.
    framework::Endpoint listen;
    /// Endpoint for control messages; port zero lets the kernel choose.
    framework::Endpoint controlListen;
    framework::Endpoint logService;
    framework::Endpoint hostList;
    /// Control endpoints of daemons to contact while the host list is not known.
    std::vector<framework::Endpoint> seedPeers;
    /// Backend server of a host process; unused in other roles.
    framework::Endpoint backend;
    /// Service that the backend server belongs to.
    framework::ServiceId service;
    framework::LogFormat logFormat = framework::LogFormat::Text;
    framework::Bytes maxRequest{1024 * 1024};
    /// Memory that the process may use as a whole.
    framework::Bytes memoryLimit{512 * 1024 * 1024};
    /// Descriptors that the process may have open.
    std::uint32_t descriptorLimit = 8192;
    /// Bytes per second that the body of a request has to come with.
    framework::Bytes minBodyRate{1024};
    /// Longest time that a graceful shutdown waits for requests in flight.
    framework::Milliseconds drainTimeout{600000};
    /// Retention time of records in the log service.
    framework::Milliseconds logRetention{3600000};
    /// How long after it was issued a non-idempotent request is still accepted; must be shorter
    /// than logRetention.
    framework::Milliseconds claimWindow{1800000};
    GatewaySettings gateway;
};

} // namespace lavendertally::configuration
