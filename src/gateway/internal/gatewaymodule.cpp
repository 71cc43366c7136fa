#include "gateway/gatewaymodule.h"

#include "gateway/internal/gatewaydaemon.h"

namespace lavendertally::gateway {

std::unique_ptr<framework::IDaemon>
GatewayModule::makeDaemon(const configuration::DaemonSettings &settings,
                          framework::IEventLoop &loop)
{
    return std::make_unique<GatewayDaemon>(settings, loop);
}

} // namespace lavendertally::gateway
