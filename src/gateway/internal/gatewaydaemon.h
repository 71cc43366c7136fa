#pragma once

#include "budget/types/processparts.h"
#include "configuration/types/daemonsettings.h"
#include "framework/idaemon.h"
#include "framework/istatedumper.h"
#include "framework/types/timepoint.h"
#include "serving/idletimeouthistory.h"

#include <memory>
#include <vector>

namespace lavendertally::budget {
class BudgetReporter;
class IResourceBudget;
} // namespace lavendertally::budget

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class ILogger;
class IMetrics;
class IRandom;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::connections {
class IConnectionShares;
}

namespace lavendertally::frontend {
class IHttpApi;
}

namespace lavendertally::http {
class IHttpExchange;
class IHttpServer;
class ServerShutdown;
} // namespace lavendertally::http

namespace lavendertally::membership {
class IBackendServerTracker;
}

namespace lavendertally::peers {
class IPeerNetwork;
class IPeerObserver;
} // namespace lavendertally::peers

namespace lavendertally::platform {
class ClientGateway;
class IPlatform;
} // namespace lavendertally::platform

namespace lavendertally::proxy {
class IProxyService;
}

namespace lavendertally::quarantine {
class IPromptQuarantine;
}

namespace lavendertally::ratelimit {
class IServerRateLimits;
}

namespace lavendertally::replication {
class TopicExchange;
}

namespace lavendertally::retry {
class IRetryPolicy;
}

namespace lavendertally::rollout {
class IRolloutTraffic;
}

namespace lavendertally::routing {
class IBackendServerSelector;
class IServerFilter;
} // namespace lavendertally::routing

namespace lavendertally::serving {
class IServingTracker;
}

namespace lavendertally::stages {
class IStageCoordinator;
class IStageService;
} // namespace lavendertally::stages

namespace lavendertally::gateway {

/// Gateway daemon: forwards client requests to backend servers, and coordinates stages with the
/// other gateways. Creates and connects the modules.
class GatewayDaemon final : public framework::IDaemon, public framework::IStateDumper
{
public:
    GatewayDaemon(const configuration::DaemonSettings &settings, framework::IEventLoop &loop);
    ~GatewayDaemon() override;
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    framework::Result<void> start() override;
    void drain(std::function<void()> finished) override;
    void reload() override;
    nlohmann::json dumpState() const override;

private:
    /// Creates the tracked state, the links to peers, and the policies that work on them.
    void createCore();
    /// Creates what limits the choice of backend servers during rollouts, if the settings ask for
    /// rollouts.
    void createRollouts();
    std::vector<routing::IServerFilter *> versionFilters() const;
    /// \return filters of the servers for requests of clients
    std::vector<routing::IServerFilter *> selectorFilters() const;
    /// Creates the service that forwards client requests.
    void createProxy();
    /// Creates the servers for clients, readiness checks and metrics.
    void createHttpServers();
    /// \return a server whose clients are borne by a budget of their own, which is reported
    std::unique_ptr<http::IHttpServer> makeServer(const char *name,
                                                  const budget::BudgetLimits &limits);
    void applyLimits();
    void updateRetryLimits();
    /// Tells the shares of connections which gateways there are.
    void updateFleet();
    /// \return whether the configuration and the list of backend servers are known
    bool hasRequiredState() const;
    /// \return outstanding work of the backend servers with the most of it
    nlohmann::json dumpWork() const;
    /// \return whether the load balancer may send requests to this gateway
    bool isReady() const;
    void replyReadiness(const std::shared_ptr<http::IHttpExchange> &exchange);
    void tick();
    void checkDrained();
    /// \return time from the start of a shutdown to the end of all requests
    framework::Milliseconds forcedEndAfter() const;

    configuration::DaemonSettings m_settings;
    budget::ProcessParts m_parts;
    framework::IEventLoop &m_loop;
    // The order matters: each member is destroyed before those declared above it, which it uses.
    std::unique_ptr<framework::IClock> m_clock;
    std::unique_ptr<framework::ILogger> m_logger;
    std::unique_ptr<framework::IMetrics> m_metrics;
    std::unique_ptr<framework::IRandom> m_random;
    std::vector<std::unique_ptr<budget::BudgetReporter>> m_budgets;
    std::unique_ptr<serving::IServingTracker> m_serving;
    std::unique_ptr<membership::IBackendServerTracker> m_servers;
    std::unique_ptr<connections::IConnectionShares> m_connections;
    std::unique_ptr<platform::IPlatform> m_platform;
    std::unique_ptr<peers::IPeerNetwork> m_peers;
    std::unique_ptr<replication::TopicExchange> m_topicExchange;
    std::unique_ptr<ratelimit::IServerRateLimits> m_rateLimits;
    std::unique_ptr<peers::IPeerObserver> m_permitExchange;
    std::unique_ptr<peers::IPeerObserver> m_leaseExchange;
    /// Null without rollouts.
    std::unique_ptr<rollout::IRolloutTraffic> m_rolloutTraffic;
    std::unique_ptr<peers::IPeerObserver> m_rolloutExchange;
    std::unique_ptr<stages::IStageCoordinator> m_coordinator;
    std::unique_ptr<stages::IStageService> m_stages;
    std::unique_ptr<routing::IBackendServerSelector> m_selector;
    std::unique_ptr<retry::IRetryPolicy> m_retryPolicy;
    std::unique_ptr<quarantine::IPromptQuarantine> m_quarantine;
    std::unique_ptr<peers::IPeerObserver> m_crashExchange;
    std::unique_ptr<proxy::IProxyService> m_proxy;
    std::unique_ptr<platform::ClientGateway> m_clientGateway;
    std::vector<std::unique_ptr<frontend::IHttpApi>> m_apis;
    std::unique_ptr<http::IHttpServer> m_clientServer;
    std::unique_ptr<http::ServerShutdown> m_clientShutdown;
    std::unique_ptr<http::IHttpServer> m_readyServer;
    std::unique_ptr<http::IHttpServer> m_metricsServer;
    std::unique_ptr<framework::ITimer> m_tickTimer;
    std::unique_ptr<framework::ITimer> m_drainTimer;
    serving::IdleTimeoutHistory m_idleTimeouts;
    framework::TimePoint m_drainStarted;
    bool m_draining = false;
    bool m_wasReady = false;
    std::function<void()> m_onDrained;
};

} // namespace lavendertally::gateway
