#include "rollout/rolloutmodule.h"

#include "rollout/internal/rolloutexchange.h"
#include "rollout/internal/versiontraffic.h"

namespace lavendertally::rollout {

std::unique_ptr<IRolloutTraffic>
RolloutModule::makeTraffic(const membership::IBackendServers &servers, const RolloutBounds &bounds,
                           std::uint64_t start, const framework::IClock &clock,
                           framework::ILogger &logger, framework::IMetrics &metrics)
{
    return std::make_unique<VersionTraffic>(servers, bounds, start, clock, logger, metrics);
}

std::unique_ptr<peers::IPeerObserver> RolloutModule::makeExchange(
    const framework::DaemonId &self, IRolloutTraffic &traffic, IRolloutStatusStore &statuses,
    const RolloutBounds &bounds, std::uint64_t start, peers::IPeerNetwork &network,
    const peers::IDaemonDirectory &directory, framework::IScheduler &scheduler,
    const framework::IClock &clock, framework::ILogger &logger, framework::IMetrics &metrics)
{
    return std::make_unique<RolloutExchange>(self, static_cast<VersionTraffic &>(traffic), statuses,
                                             bounds, start, network, directory, scheduler, clock,
                                             logger, metrics);
}

} // namespace lavendertally::rollout
