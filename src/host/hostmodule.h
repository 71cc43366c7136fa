#pragma once

#include <memory>

namespace lavendertally::configuration {
struct DaemonSettings;
}

namespace lavendertally::framework {
class IDaemon;
class IEventLoop;
} // namespace lavendertally::framework

namespace lavendertally::host {

/// Factory of the host process, the daemon that runs beside a backend server.
class HostModule
{
public:
    /// \param settings copied
    /// \param loop outlives the daemon
    /// \return daemon that is not yet started
    static std::unique_ptr<framework::IDaemon>
    makeDaemon(const configuration::DaemonSettings &settings, framework::IEventLoop &loop);
};

} // namespace lavendertally::host
