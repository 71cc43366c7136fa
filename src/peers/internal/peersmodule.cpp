#include "peers/peersmodule.h"

#include "peers/internal/daemonranking.h"
#include "peers/internal/peernetwork.h"

#include <utility>

namespace lavendertally::peers {

std::unique_ptr<IPeerNetwork> PeersModule::makeNetwork(framework::IEventLoop &loop,
                                                       const framework::IClock &clock,
                                                       framework::ILogger &logger,
                                                       const framework::DaemonId &self,
                                                       const PeerLimits &limits)
{
    return std::make_unique<PeerNetwork>(loop, clock, logger, self, limits);
}

std::vector<DaemonAddress> PeersModule::rank(std::vector<DaemonRegistration> registrations)
{
    return rankByCapacity(std::move(registrations));
}

} // namespace lavendertally::peers
