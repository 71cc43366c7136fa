#pragma once

#include "daemon/daemoncomponents.h"
#include "framework/idaemon.h"
#include "framework/istatedumper.h"
#include "framework/types/timepoint.h"
#include "pipeline/ihostlistener.h"
#include "routing/types/routing.h"

#include <memory>
#include <vector>

namespace lavendertally::budget {
class BudgetReporter;
}

namespace lavendertally::claims {
class IClaimService;
}

namespace lavendertally::control {
class IDaemonControl;
class IOperatorService;
} // namespace lavendertally::control

namespace lavendertally::framework {
class IEventLoop;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::frontend {
class IHttpApi;
}

namespace lavendertally::http {
class IHttpServer;
class ServerShutdown;
} // namespace lavendertally::http

namespace lavendertally::pipeline {
class IRequestService;
}

namespace lavendertally::infrastructure {
class ILogService;
}

namespace lavendertally::quarantine {
class IPromptQuarantine;
}

namespace lavendertally::retry {
class IRetryPolicy;
class IStageBudget;
} // namespace lavendertally::retry

namespace lavendertally::transport {
class IStageClient;
}

namespace lavendertally::entry {

class CrashEvidenceExchange;
class LivenessProbe;

/// Daemon of an entry: serves the requests of callers and operators and runs pipelines. Constructs
/// and connects the modules.
class EntryDaemon final : public framework::IDaemon,
                          public framework::IStateDumper,
                          public pipeline::IHostListener
{
public:
    EntryDaemon(const configuration::DaemonSettings &settings, framework::IEventLoop &loop);
    ~EntryDaemon() override;
    EntryDaemon(const EntryDaemon &) = delete;
    EntryDaemon &operator=(const EntryDaemon &) = delete;

    framework::Result<void> start() override;
    void drain(std::function<void()> finished) override;
    nlohmann::json dumpState() const override;
    void onHostAnswer(const membership::HostEntry &host, protocol::RefusalReason reason,
                      framework::LogOffset revision) override;

private:
    void makeControl();
    void makeRequests();
    void makeHttp();
    /// Requests a load report from each host that the probe policy names; repeats itself by a
    /// timer.
    void probeLoads();
    /// Calls m_onDrained when no request is left, arrived ones included, and the claim outcomes are
    /// on the log, or the wait for the log or the whole drain has lasted too long; otherwise
    /// repeats itself by a timer.
    void checkDrained();

    // Members are declared after their dependencies, so that they are destroyed before them.
    daemon::DaemonComponents m_components;
    std::unique_ptr<infrastructure::ILogService> m_log;
    std::unique_ptr<control::IDaemonControl> m_control;
    std::unique_ptr<control::IOperatorService> m_operatorService;
    routing::Routing m_routing;
    std::unique_ptr<retry::IRetryPolicy> m_retryPolicy;
    std::unique_ptr<retry::IStageBudget> m_stageBudget;
    std::unique_ptr<claims::IClaimService> m_claims;
    std::unique_ptr<transport::IStageClient> m_stageClient;
    std::unique_ptr<quarantine::IPromptQuarantine> m_quarantine;
    std::unique_ptr<CrashEvidenceExchange> m_crashEvidence;
    std::unique_ptr<pipeline::IRequestService> m_requests;
    std::vector<std::unique_ptr<frontend::IHttpApi>> m_apis;
    std::unique_ptr<budget::BudgetReporter> m_budget;
    std::unique_ptr<http::IHttpServer> m_server;
    std::unique_ptr<http::ServerShutdown> m_shutdown;
    std::unique_ptr<LivenessProbe> m_liveness;
    std::unique_ptr<framework::ITimer> m_loadProbeTimer;
    std::unique_ptr<framework::ITimer> m_drainTimer;
    framework::TimePoint m_drainDeadline;
    framework::TimePoint m_idleSince;
    std::function<void()> m_onDrained;
};

} // namespace lavendertally::entry
