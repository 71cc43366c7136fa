#pragma once

#include "framework/types/ids.h"
#include "ratelimit/types/ratelimitlimits.h"

#include <memory>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
class IScheduler;
} // namespace lavendertally::framework

namespace lavendertally::peers {
class IDaemonDirectory;
class IPeerNetwork;
class IPeerObserver;
} // namespace lavendertally::peers

namespace lavendertally::ratelimit {

class IRateLimitStore;
class IServerRateLimits;

/// Creates the objects of the module.
class RateLimitModule
{
public:
    /// \param logger outlives the limits, as do the metrics
    static std::unique_ptr<IServerRateLimits>
    makeServerRateLimits(framework::ILogger &logger, framework::IMetrics &metrics,
                         const RateLimitLimits &limits = {});

    /// Makes what gets permits from the daemon that issues them, or issues them; it observes
    /// \p network.
    /// \param self id of this daemon
    /// \param store outlives the exchange, as do the network and the services after it
    static std::unique_ptr<peers::IPeerObserver>
    makePermitExchange(const framework::DaemonId &self, IRateLimitStore &store,
                       peers::IPeerNetwork &network, const peers::IDaemonDirectory &directory,
                       framework::IScheduler &scheduler, const framework::IClock &clock,
                       framework::ILogger &logger, framework::IMetrics &metrics);
};

} // namespace lavendertally::ratelimit
