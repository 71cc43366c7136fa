#include "control/controlmodule.h"

#include "control/internal/daemoncontrol.h"
#include "control/internal/nngcontrolclient.h"
#include "control/internal/nngcontrolserver.h"
#include "control/internal/operatorservice.h"
#include "framework/ieventloop.h"

#include <utility>

namespace lavendertally::control {

std::unique_ptr<IControlServer> ControlModule::makeServer(framework::IEventLoop &loop,
                                                          const protocol::IMessageCodec &codec,
                                                          framework::IMetrics &metrics,
                                                          const ControlLimits &limits)
{
    return std::make_unique<NngControlServer>(loop, codec, metrics, limits);
}

std::unique_ptr<IControlClient> ControlModule::makeClient(framework::IEventLoop &loop,
                                                          const framework::IClock &clock,
                                                          const protocol::IMessageCodec &codec,
                                                          framework::IMetrics &metrics,
                                                          const ControlLimits &limits)
{
    return std::make_unique<NngControlClient>(loop, clock, codec, metrics, limits);
}

std::unique_ptr<IDaemonControl>
ControlModule::makeDaemonControl(const ControlDependencies &parts, framework::IEventLoop &loop,
                                 const protocol::IMessageCodec &codec)
{
    return makeDaemonControl(parts, loop, makeServer(loop, codec, parts.metrics),
                             makeClient(loop, parts.clock, codec, parts.metrics));
}

std::unique_ptr<IDaemonControl>
ControlModule::makeDaemonControl(const ControlDependencies &parts, framework::IScheduler &scheduler,
                                 std::unique_ptr<IControlServer> server,
                                 std::unique_ptr<IControlClient> client)
{
    return std::make_unique<DaemonControl>(parts, scheduler, std::move(server), std::move(client));
}

std::unique_ptr<IOperatorService> ControlModule::makeOperatorService(
    infrastructure::ILogService &log, configuration::IConfigurationReplica &replica,
    const configuration::IControlRecordCodec &codec, framework::IScheduler &scheduler)
{
    return std::make_unique<OperatorService>(log, replica, codec, scheduler);
}

} // namespace lavendertally::control
