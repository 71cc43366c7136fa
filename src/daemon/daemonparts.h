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

/// What a daemon of either role stands on. Members are declared so that what is used outlives what
/// uses it.
struct DaemonParts
{
    /// \param loop outlives the parts
    DaemonParts(const configuration::DaemonSettings &settings, framework::IEventLoop &loop);
    ~DaemonParts();
    DaemonParts(const DaemonParts &) = delete;
    DaemonParts &operator=(const DaemonParts &) = delete;

    /// \param log null in a host process, which reads from entries only
    /// \return what the daemon's control side needs
    control::ControlDependencies controlParts(infrastructure::ILogService *log) const;

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
