#pragma once

#include "framework/types/ids.h"
#include "rollout/types/rolloutbounds.h"

#include <cstdint>
#include <memory>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
class IScheduler;
} // namespace lavendertally::framework

namespace lavendertally::membership {
class IBackendServers;
}

namespace lavendertally::peers {
class IDaemonDirectory;
class IPeerNetwork;
class IPeerObserver;
} // namespace lavendertally::peers

namespace lavendertally::rollout {

class IRolloutStatusStore;
class IRolloutTraffic;

/// Creates the objects of the module.
class RolloutModule
{
public:
    /// \param servers outlives the traffic, as do the services after it
    /// \param start number of this daemon's start, drawn at random
    static std::unique_ptr<IRolloutTraffic>
    makeTraffic(const membership::IBackendServers &servers, const RolloutBounds &bounds,
                std::uint64_t start, const framework::IClock &clock, framework::ILogger &logger,
                framework::IMetrics &metrics);

    /// Makes what tells the other daemons of this one's evidence and follows the decider's steps,
    /// or decides; it observes \p network. \param self id of this daemon \param traffic made by
    /// makeTraffic(); outlives the exchange, as do the services after it
    static std::unique_ptr<peers::IPeerObserver>
    makeExchange(const framework::DaemonId &self, IRolloutTraffic &traffic,
                 IRolloutStatusStore &statuses, const RolloutBounds &bounds, std::uint64_t start,
                 peers::IPeerNetwork &network, const peers::IDaemonDirectory &directory,
                 framework::IScheduler &scheduler, const framework::IClock &clock,
                 framework::ILogger &logger, framework::IMetrics &metrics);
};

} // namespace lavendertally::rollout
