#pragma once

#include "control/types/controllimits.h"

#include <memory>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::protocol {
class IMessageCodec;
}

namespace lavendertally::control {

class IControlClient;
class IControlServer;

/// Makes the exchange of control messages and what stands on it.
class ControlModule
{
public:
    static std::unique_ptr<IControlServer> makeServer(framework::IEventLoop &loop,
                                                      const protocol::IMessageCodec &codec,
                                                      framework::IMetrics &metrics,
                                                      const ControlLimits &limits = {});

    static std::unique_ptr<IControlClient> makeClient(framework::IEventLoop &loop,
                                                      const framework::IClock &clock,
                                                      const protocol::IMessageCodec &codec,
                                                      framework::IMetrics &metrics,
                                                      const ControlLimits &limits = {});
};

} // namespace lavendertally::control
