#pragma once

#include "framework/types/ids.h"
#include "stages/types/stagelimits.h"

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
} // namespace lavendertally::peers

namespace lavendertally::serving {
class IServingState;
}

namespace lavendertally::stages {

class IStageCallPort;
class IStageCoordinator;
class IStageService;

/// Makes the decisions on stages.
class StagesModule
{
public:
    /// \param serving and \param servers outlive the coordinator
    static std::unique_ptr<IStageCoordinator>
    makeCoordinator(const serving::IServingState &serving,
                    const membership::IBackendServers &servers, const StageLimits &limits = {});

    /// \param self this daemon
    /// \return the service that runs jobs here or at the daemon that coordinates them
    static std::unique_ptr<IStageService>
    makeService(const framework::DaemonId &self, IStageCoordinator &coordinator,
                IStageCallPort &calls, peers::IPeerNetwork &network,
                peers::IDaemonDirectory &directory, framework::IScheduler &scheduler,
                const framework::IClock &clock, framework::ILogger &logger,
                framework::IMetrics &metrics);
};

} // namespace lavendertally::stages
