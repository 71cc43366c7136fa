#pragma once

#include "control/types/controlidentity.h"
#include "control/types/isolationlimits.h"
#include "control/types/snapshotlimits.h"
#include "control/types/synclimits.h"
#include "framework/types/endpoint.h"

#include <vector>

namespace lavendertally::configuration {
class IConfigurationReplica;
class IControlRecordCodec;
} // namespace lavendertally::configuration

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
class IRandom;
} // namespace lavendertally::framework

namespace lavendertally::membership {
class IMembershipTracker;
}

namespace lavendertally::infrastructure {
class IHostList;
class ILogService;
} // namespace lavendertally::infrastructure

namespace lavendertally::control {

/// Dependencies of the control side of a daemon. All referenced objects must outlive
/// IDaemonControl.
struct ControlDependencies
{
    ControlIdentity identity;
    /// Control endpoints to query while no entry is known from the host list.
    std::vector<framework::Endpoint> seedPeers;
    configuration::IConfigurationReplica &replica;
    const configuration::IControlRecordCodec &recordCodec;
    membership::IMembershipTracker &membership;
    infrastructure::IHostList &hostList;
    /// Null in a host process, which gets its configuration from entries only.
    infrastructure::ILogService *log;
    const framework::IClock &clock;
    framework::IRandom &random;
    framework::ILogger &logger;
    framework::IMetrics &metrics;
    SyncLimits syncLimits = {};
    IsolationLimits isolationLimits = {};
    SnapshotLimits snapshotLimits = {};
};

} // namespace lavendertally::control
