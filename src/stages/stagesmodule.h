#pragma once

#include "framework/types/ids.h"
#include "stages/types/stagecoordinatoroptions.h"

#include <memory>
#include <vector>

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
} // namespace lavendertally::peers

namespace lavendertally::ratelimit {
class IServerRateLimits;
}

namespace lavendertally::rollout {
class IRolloutObserver;
}

namespace lavendertally::routing {
class IServerFilter;
}

namespace lavendertally::serving {
class IServingState;
}

namespace lavendertally::stages {

class IStageCallPort;
class IStageCoordinator;
class IStageService;

/// Creates the objects of the module.
class StagesModule
{
public:
    /// \param serving configuration of the services; must outlive the coordinator
    /// \param servers backend servers of all services; must outlive the coordinator
    /// \param rateLimits rates that backend servers allow; must outlive the coordinator
    /// \param filters applied one after the other to the servers of each call; must outlive the
    /// coordinator
    /// \param rollouts hears of answers, if given; must outlive the coordinator
    static std::unique_ptr<IStageCoordinator> makeCoordinator(
        const serving::IServingState &serving, const membership::IBackendServers &servers,
        ratelimit::IServerRateLimits &rateLimits, const StageCoordinatorOptions &options = {},
        std::vector<routing::IServerFilter *> filters = {},
        rollout::IRolloutObserver *rollouts = nullptr);

    /// Creates a service that submits jobs to the coordinating daemon, which may be this one. All
    /// references must outlive the service.
    /// \param self id of this daemon
    /// \param coordinator runs the jobs while this daemon is the coordinator
    static std::unique_ptr<IStageService>
    makeService(const framework::DaemonId &self, IStageCoordinator &coordinator,
                IStageCallPort &calls, peers::IPeerNetwork &network,
                peers::IDaemonDirectory &directory, framework::IScheduler &scheduler,
                const framework::IClock &clock, framework::ILogger &logger,
                framework::IMetrics &metrics);
};

} // namespace lavendertally::stages
