#include "host/hostmodule.h"

#include "host/internal/hostdaemon.h"

namespace lavendertally::host {

std::unique_ptr<framework::IDaemon>
HostModule::makeDaemon(const configuration::DaemonSettings &settings, framework::IEventLoop &loop)
{
    return std::make_unique<HostDaemon>(settings, loop);
}

} // namespace lavendertally::host
