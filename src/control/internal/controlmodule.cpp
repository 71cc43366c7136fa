#include "control/controlmodule.h"

#include "control/internal/nngcontrolclient.h"
#include "control/internal/nngcontrolserver.h"

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

} // namespace lavendertally::control
