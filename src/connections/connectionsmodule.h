#pragma once

#include "connections/types/connectionlimits.h"
#include "framework/types/ids.h"

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

namespace lavendertally::serving {
class IServingState;
}

namespace lavendertally::connections {

class IConnectionShares;
class ILeaseBook;

/// Creates the objects of the module.
class ConnectionsModule
{
public:
    /// All arguments outlive the shares.
    static std::unique_ptr<IConnectionShares>
    makeShares(const membership::IBackendServers &servers, const serving::IServingState &serving,
               framework::IScheduler &scheduler, const framework::IClock &clock,
               framework::ILogger &logger, framework::IMetrics &metrics,
               const ConnectionLimits &limits = {});

    /// Makes what borrows connections from other gateways, and lends to them; it observes
    /// \p network.
    /// \param self id of this gateway
    /// \param book outlives the exchange, as do the network and the services after it
    static std::unique_ptr<peers::IPeerObserver>
    makeLeaseExchange(const framework::DaemonId &self, ILeaseBook &book,
                      peers::IPeerNetwork &network, const peers::IDaemonDirectory &directory,
                      framework::IScheduler &scheduler, const framework::IClock &clock,
                      framework::ILogger &logger, framework::IMetrics &metrics,
                      const ConnectionLimits &limits = {});
};

} // namespace lavendertally::connections
