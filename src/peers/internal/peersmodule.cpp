#include "peers/peersmodule.h"

#include "peers/internal/peernetwork.h"

namespace lavendertally::peers {

std::unique_ptr<IPeerNetwork> PeersModule::makeNetwork(framework::IEventLoop &loop,
                                                       const framework::IClock &clock,
                                                       framework::ILogger &logger,
                                                       const framework::DaemonId &self,
                                                       const PeerLimits &limits)
{
    return std::make_unique<PeerNetwork>(loop, clock, logger, self, limits);
}

} // namespace lavendertally::peers
