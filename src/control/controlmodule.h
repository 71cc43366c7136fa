#pragma once

#include "control/types/controllimits.h"

#include <memory>

namespace lavendertally::configuration {
class IConfigurationReplica;
class IControlRecordCodec;
} // namespace lavendertally::configuration

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class IMetrics;
class IScheduler;
} // namespace lavendertally::framework

namespace lavendertally::infrastructure {
class ILogService;
}

namespace lavendertally::protocol {
class IMessageCodec;
}

namespace lavendertally::control {

class IControlClient;
class IControlServer;
class IDaemonControl;
class IOperatorService;
struct ControlDependencies;

/// Factory of the control message transport, daemon control and the operator service.
class ControlModule
{
public:
    static std::unique_ptr<IControlServer> makeServer(framework::IEventLoop &loop,
                                                      const protocol::IMessageCodec &codec,
                                                      framework::IMetrics &metrics,
                                                      const ControlLimits &limits = {});

    static std::unique_ptr<IControlClient> makeClient(framework::IEventLoop &loop,
                                                      const framework::IClock &clock,
                                                      const protocol::IMessageCodec &codec,
                                                      framework::IMetrics &metrics,
                                                      const ControlLimits &limits = {});

    /// Makes the control side of an entry, or of a host process when ControlDependencies::log is
    /// null, with makeServer() and makeClient() as transport. \p loop and \p codec must outlive it.
    static std::unique_ptr<IDaemonControl> makeDaemonControl(const ControlDependencies &parts,
                                                             framework::IEventLoop &loop,
                                                             const protocol::IMessageCodec &codec);

    /// Same with the given transport.
    static std::unique_ptr<IDaemonControl>
    makeDaemonControl(const ControlDependencies &parts, framework::IScheduler &scheduler,
                      std::unique_ptr<IControlServer> server,
                      std::unique_ptr<IControlClient> client);

    /// \param replica fed by the IDaemonControl of the same process
    static std::unique_ptr<IOperatorService> makeOperatorService(
        infrastructure::ILogService &log, configuration::IConfigurationReplica &replica,
        const configuration::IControlRecordCodec &codec, framework::IScheduler &scheduler);
};

} // namespace lavendertally::control
