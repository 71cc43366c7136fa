#pragma once

#include <memory>

namespace lavendertally::configuration {
struct DaemonSettings;
}

namespace lavendertally::framework {
class IDaemon;
class IEventLoop;
} // namespace lavendertally::framework

namespace lavendertally::gateway {

/// Creates the gateway daemon, which forwards the client requests of the users' platform.
class GatewayModule
{
public:
    /// \param loop event loop on which the daemon runs; must outlive it
    static std::unique_ptr<framework::IDaemon>
    makeDaemon(const configuration::DaemonSettings &settings, framework::IEventLoop &loop);
};

} // namespace lavendertally::gateway
