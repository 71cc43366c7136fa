#pragma once

#include "daemon/daemoncomponents.h"
#include "framework/idaemon.h"
#include "framework/istatedumper.h"
#include "framework/types/timepoint.h"
#include "host/ientrylistener.h"

#include <memory>
#include <vector>

namespace lavendertally::budget {
class BudgetReporter;
}

namespace lavendertally::accounting {
class ICostLedger;
}

namespace lavendertally::admission {
class IAdmissionController;
}

namespace lavendertally::backends {
class IBackendServerFactory;
}

namespace lavendertally::control {
class IDaemonControl;
}

namespace lavendertally::framework {
class IEventLoop;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::frontend {
class IHttpApi;
}

namespace lavendertally::http {
class IHttpExchange;
class IHttpServer;
class ServerShutdown;
} // namespace lavendertally::http

namespace lavendertally::membership {
class IAdmissionGate;
}

namespace lavendertally::transport {
class IStageServer;
}

namespace lavendertally::host {

class IHostService;

/// Daemon of a host process: admits stage requests to the backend server on its host. Constructs
/// and connects the modules.
class HostDaemon final : public framework::IDaemon,
                         public framework::IStateDumper,
                         public IEntryListener
{
public:
    HostDaemon(const configuration::DaemonSettings &settings, framework::IEventLoop &loop);
    ~HostDaemon() override;
    HostDaemon(const HostDaemon &) = delete;
    HostDaemon &operator=(const HostDaemon &) = delete;

    framework::Result<void> start() override;
    void drain(std::function<void()> finished) override;
    nlohmann::json dumpState() const override;
    void onEntryRevision(const framework::DaemonId &sender, framework::LogOffset revision) override;

private:
    void makeControl();
    void makeService();
    void makeHttp();
    void handle(const std::shared_ptr<http::IHttpExchange> &exchange);
    void refreshGate();
    /// Sets the gauges of running and queued calls and of the admission limit.
    void updateLoadGauges();
    /// Updates the load gauges and tells the admission gate whether the configuration can be
    /// trusted; repeats itself by a timer.
    void checkIsolation();
    /// Calls m_onDrained when no call is left, arrived ones included, or the drain deadline has
    /// passed; otherwise repeats itself by a timer.
    void checkDrained();

    // Members are declared after their dependencies, so that they are destroyed before them.
    daemon::DaemonComponents m_components;
    std::unique_ptr<membership::IAdmissionGate> m_gate;
    std::unique_ptr<accounting::ICostLedger> m_costs;
    std::unique_ptr<admission::IAdmissionController> m_admission;
    std::unique_ptr<backends::IBackendServerFactory> m_backends;
    std::unique_ptr<control::IDaemonControl> m_control;
    std::unique_ptr<IHostService> m_service;
    std::unique_ptr<transport::IStageServer> m_stageServer;
    std::vector<std::unique_ptr<frontend::IHttpApi>> m_apis;
    std::unique_ptr<budget::BudgetReporter> m_budget;
    std::unique_ptr<http::IHttpServer> m_server;
    std::unique_ptr<http::ServerShutdown> m_shutdown;
    std::unique_ptr<framework::ITimer> m_isolationTimer;
    std::unique_ptr<framework::ITimer> m_drainTimer;
    framework::TimePoint m_drainDeadline;
    std::function<void()> m_onDrained;
};

} // namespace lavendertally::host
