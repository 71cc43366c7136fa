#pragma once

#include "framework/types/ids.h"
#include "peers/types/peerlimits.h"

#include <memory>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class ILogger;
} // namespace lavendertally::framework

namespace lavendertally::peers {

class IPeerNetwork;

/// Makes links between daemons.
class PeersModule
{
public:
    static std::unique_ptr<IPeerNetwork> makeNetwork(framework::IEventLoop &loop,
                                                     const framework::IClock &clock,
                                                     framework::ILogger &logger,
                                                     const framework::DaemonId &self,
                                                     const PeerLimits &limits = {});
};

} // namespace lavendertally::peers
