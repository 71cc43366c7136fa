#include "ratelimit/ratelimitmodule.h"

#include "ratelimit/internal/permitexchange.h"
#include "ratelimit/internal/serverratelimits.h"

namespace lavendertally::ratelimit {

std::unique_ptr<IServerRateLimits>
RateLimitModule::makeServerRateLimits(framework::ILogger &logger, framework::IMetrics &metrics,
                                      const RateLimitLimits &limits)
{
    return std::make_unique<ServerRateLimits>(logger, metrics, limits);
}

std::unique_ptr<peers::IPeerObserver> RateLimitModule::makePermitExchange(
    const framework::DaemonId &self, IRateLimitStore &store, peers::IPeerNetwork &network,
    const peers::IDaemonDirectory &directory, framework::IScheduler &scheduler,
    const framework::IClock &clock, framework::ILogger &logger, framework::IMetrics &metrics)
{
    return std::make_unique<PermitExchange>(self, store, network, directory, scheduler, clock,
                                            logger, metrics);
}

} // namespace lavendertally::ratelimit
