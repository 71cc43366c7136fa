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

/// Makes the daemon that forwards the requests of the users' platform.
class GatewayModule
{
public:
    /// \param loop outlives the daemon
    static std::unique_ptr<framework::IDaemon>
    makeDaemon(const configuration::DaemonSettings &settings, framework::IEventLoop &loop);
};

} // namespace lavendertally::gateway
