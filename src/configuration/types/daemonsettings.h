#pragma once

#include "configuration/types/daemonrole.h"
#include "configuration/types/gatewaysettings.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/logformat.h"
#include "framework/types/milliseconds.h"
#include "framework/types/units.h"

#include <vector>

namespace lavendertally::configuration {

/// Settings of one lavendertallyd process, from its settings file.
struct DaemonSettings
{
    DaemonRole role = DaemonRole::Entry;
    framework::DaemonId id;
    framework::HostId host;
    framework::AvailabilityZoneId zone;
    /// Where it answers HTTP; port zero lets the kernel choose.
    framework::Endpoint listen;
    /// Where it answers control messages; port zero lets the kernel choose.
    framework::Endpoint controlListen;
    framework::Endpoint logService;
    framework::Endpoint hostList;
    /// Control endpoints of daemons to ask while the host list is not known.
    std::vector<framework::Endpoint> seedPeers;
    /// Backend server beside a host process.
    framework::Endpoint backend;
    /// Service of that backend server.
    framework::ServiceId service;
    framework::LogFormat logFormat = framework::LogFormat::Text;
    framework::Bytes maxRequest{1024 * 1024};
    /// Longest time that a graceful shutdown waits for requests under way.
    framework::Milliseconds drainTimeout{600000};
    /// How long the platform's log keeps records.
    framework::Milliseconds logRetention{3600000};
    /// How long after its issue a request that may not be repeated is still accepted; less than
    /// the retention.
    framework::Milliseconds claimWindow{1800000};
    GatewaySettings gateway;
};

} // namespace lavendertally::configuration
