#include "stages/stagesmodule.h"

#include "stages/internal/stagecoordinator.h"
#include "stages/internal/stageservice.h"

#include <utility>

namespace lavendertally::stages {

std::unique_ptr<IStageCoordinator> StagesModule::makeCoordinator(
    const serving::IServingState &serving, const membership::IBackendServers &servers,
    ratelimit::IServerRateLimits &rateLimits, const StageCoordinatorOptions &options,
    std::vector<routing::IServerFilter *> filters, rollout::IRolloutObserver *rollouts)
{
    return std::make_unique<StageCoordinator>(serving, servers, rateLimits, options,
                                              std::move(filters), rollouts);
}

std::unique_ptr<IStageService>
StagesModule::makeService(const framework::DaemonId &self, IStageCoordinator &coordinator,
                          IStageCallPort &calls, peers::IPeerNetwork &network,
                          peers::IDaemonDirectory &directory, framework::IScheduler &scheduler,
                          const framework::IClock &clock, framework::ILogger &logger,
                          framework::IMetrics &metrics)
{
    return std::make_unique<StageService>(self, coordinator, calls, network, directory, scheduler,
                                          clock, logger, metrics);
}

} // namespace lavendertally::stages
