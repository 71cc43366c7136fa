#include "connections/connectionsmodule.h"

#include "connections/internal/connectionshares.h"
#include "connections/internal/leaseexchange.h"

namespace lavendertally::connections {

std::unique_ptr<IConnectionShares> ConnectionsModule::makeShares(
    const membership::IBackendServers &servers, const serving::IServingState &serving,
    framework::IScheduler &scheduler, const framework::IClock &clock, framework::ILogger &logger,
    framework::IMetrics &metrics, const ConnectionLimits &limits)
{
    return std::make_unique<ConnectionShares>(servers, serving, scheduler, clock, logger, metrics,
                                              limits);
}

std::unique_ptr<peers::IPeerObserver> ConnectionsModule::makeLeaseExchange(
    const framework::DaemonId &self, ILeaseBook &book, peers::IPeerNetwork &network,
    const peers::IDaemonDirectory &directory, framework::IScheduler &scheduler,
    const framework::IClock &clock, framework::ILogger &logger, framework::IMetrics &metrics,
    const ConnectionLimits &limits)
{
    return std::make_unique<LeaseExchange>(self, book, network, directory, scheduler, clock, logger,
                                           metrics, limits);
}

} // namespace lavendertally::connections
