#pragma once

#include "configuration/types/daemonsettings.h"

#include <memory>

namespace lavendertally::configuration {
class IConfigurationReplica;
class IControlRecordCodec;
} // namespace lavendertally::configuration

namespace lavendertally::control {
struct ControlDependencies;
}

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class ILogger;
class IMetrics;
class IRandom;
} // namespace lavendertally::framework

namespace lavendertally::http {
class IHttpClient;
}

namespace lavendertally::membership {
class IMembershipTracker;
}

namespace lavendertally::infrastructure {
class IHostList;
class ILogService;
} // namespace lavendertally::infrastructure

namespace lavendertally::protocol {
class IMessageCodec;
}

namespace lavendertally::daemon {

/// Components that host processes and entries have in common. Members are declared after their
/// dependencies, so that they are destroyed before them.
struct DaemonComponents
{
    /// \param settings copied
    /// \param loop outlives this object
    DaemonComponents(const configuration::DaemonSettings &settings, framework::IEventLoop &loop);
    ~DaemonComponents();
    DaemonComponents(const DaemonComponents &) = delete;
    DaemonComponents &operator=(const DaemonComponents &) = delete;

    /// \param log null in a host process, which reads control records from entries only
    /// \return dependencies of control::IDaemonControl; they refer to this object
    control::ControlDependencies controlDependencies(infrastructure::ILogService *log) const;

    configuration::DaemonSettings settings;
    framework::IEventLoop &loop;
    std::unique_ptr<framework::IClock> clock;
    std::unique_ptr<framework::ILogger> logger;
    std::unique_ptr<framework::IMetrics> metrics;
    std::unique_ptr<framework::IRandom> random;
    std::unique_ptr<protocol::IMessageCodec> codec;
    std::unique_ptr<http::IHttpClient> client;
    std::unique_ptr<infrastructure::IHostList> hostList;
    std::unique_ptr<configuration::IControlRecordCodec> recordCodec;
    std::unique_ptr<configuration::IConfigurationReplica> replica;
    std::unique_ptr<membership::IMembershipTracker> membership;
};

} // namespace lavendertally::daemon
