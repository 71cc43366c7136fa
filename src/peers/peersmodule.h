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

/// Creates the network of links between daemons.
class PeersModule
{
public:
    /// \param self id of this daemon, sent to the peers
    static std::unique_ptr<IPeerNetwork> makeNetwork(framework::IEventLoop &loop,
                                                     const framework::IClock &clock,
                                                     framework::ILogger &logger,
                                                     const framework::DaemonId &self,
                                                     const PeerLimits &limits = {});
};

} // namespace lavendertally::peers
