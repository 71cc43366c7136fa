#include "gateway/internal/gatewaydaemon.h"

#include "budget/budgetmodule.h"
#include "budget/budgetreporter.h"
#include "budget/iresourcebudget.h"
#include "connections/connectionsmodule.h"
#include "connections/iconnectionshares.h"
#include "framework/frameworkmodule.h"
#include "framework/hash.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/irandom.h"
#include "framework/itimer.h"
#include "frontend/frontendmodule.h"
#include "frontend/ihttpapi.h"
#include "gateway/internal/configurationapi.h"
#include "http/httpmodule.h"
#include "http/ihttpexchange.h"
#include "http/ihttpserver.h"
#include "http/servershutdown.h"
#include "membership/ibackendservertracker.h"
#include "membership/membershipmodule.h"
#include "peers/idaemondirectory.h"
#include "peers/ipeernetwork.h"
#include "peers/ipeerobserver.h"
#include "peers/peersmodule.h"
#include "peers/types/daemonaddress.h"
#include "platform/clientgateway.h"
#include "platform/iplatform.h"
#include "platform/platformmodule.h"
#include "platform/types/platformparts.h"
#include "proxy/iproxyservice.h"
#include "proxy/proxymodule.h"
#include "proxy/types/proxycontext.h"
#include "quarantine/ipromptquarantine.h"
#include "quarantine/quarantinemodule.h"
#include "ratelimit/iserverratelimits.h"
#include "ratelimit/ratelimitmodule.h"
#include "replication/topicexchange.h"
#include "replication/types/replicatedtopic.h"
#include "retry/iretrypolicy.h"
#include "retry/retrymodule.h"
#include "rollout/irollouttraffic.h"
#include "rollout/rolloutmodule.h"
#include "routing/ibackendserverselector.h"
#include "routing/icallwork.h"
#include "routing/routingmodule.h"
#include "serving/iservingtracker.h"
#include "serving/servingmodule.h"
#include "serving/types/servingconfiguration.h"
#include "stages/istagecoordinator.h"
#include "stages/istageservice.h"
#include "stages/stagesmodule.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace lavendertally::gateway {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpServiceUnavailable = 503;

/// How often state that depends on the time is checked.
constexpr framework::Milliseconds TickInterval{250};
constexpr framework::Milliseconds DrainCheckInterval{20};
/// The load balancer checks readiness every second and keeps sending requests until two checks have
/// failed.
constexpr framework::Milliseconds LoadBalancerReactionTime{2500};
/// Reserve within the time that a shutdown may take.
constexpr framework::Milliseconds ShutdownMargin{500};
/// Time to send the last responses.
constexpr framework::Milliseconds FlushTime{100};
/// Reserve within the time after which a revoked key must be rejected, for clock drift and late
/// timers.
constexpr framework::Milliseconds RevocationMargin{500};
/// Period over which the platform counts retries.
constexpr framework::Milliseconds RetryWindow{10000};
/// Backend servers in the dump of state, those with the most outstanding work first.
constexpr std::size_t MaxDumpedServers = 64;

/// Maximum age of a topic's state as confirmed by other gateways; if it is older, this gateway
/// reads the store itself. Longer than the interval between two reads of that topic plus two pings,
/// and short enough to learn in time that a backend server has left or a key has been revoked.
constexpr std::array<std::pair<protocol::StateTopic, framework::Milliseconds>, 3> MaxPeerStateAges{
    {{protocol::StateTopic::Operators, framework::Milliseconds(2000)},
     {protocol::StateTopic::BackendServers, framework::Milliseconds(1600)},
     {protocol::StateTopic::Daemons, framework::Milliseconds(6000)}}};

http::HttpLimits httpLimits(const serving::RequestLimits &limits, framework::Milliseconds idle,
                            framework::Bytes minBodyRate)
{
    http::HttpLimits result;
    result.maxBody = limits.maxBody;
    result.maxHeaders = limits.maxHeaders;
    result.requestTimeout = limits.headerTimeout;
    result.idleTimeout = idle;
    result.minBodyRate = minBodyRate;
    return result;
}

} // namespace

GatewayDaemon::GatewayDaemon(const configuration::DaemonSettings &settings,
                             framework::IEventLoop &loop)
    : m_settings(settings),
      m_parts(budget::BudgetModule::divide(settings.memoryLimit, settings.descriptorLimit)),
      m_loop(loop), m_clock(framework::FrameworkModule::makeSystemClock()),
      m_logger(framework::FrameworkModule::makeLogger(settings.id.value(), settings.logFormat)),
      m_metrics(framework::FrameworkModule::makeMetrics()),
      m_random(framework::FrameworkModule::makeRandom(framework::FrameworkModule::entropySeed()))
{
    createCore();
    createProxy();
    createHttpServers();
}

GatewayDaemon::~GatewayDaemon() = default;

void GatewayDaemon::createCore()
{
    m_serving = serving::ServingModule::makeTracker(*m_logger);
    m_servers = membership::MembershipModule::makeBackendServerTracker(*m_logger);
    m_connections = connections::ConnectionsModule::makeShares(*m_servers, *m_serving, m_loop,
                                                               *m_clock, *m_logger, *m_metrics);
    m_platform = platform::PlatformModule::makePlatform(
        {m_settings.id, m_settings.gateway.processorShare, m_settings.gateway.store, m_loop,
         *m_clock, *m_logger, *m_metrics, *m_serving, *m_servers, *m_connections,
         m_parts.idleConnections});
    peers::PeerLimits peerLimits;
    peerLimits.maxUnnamedLinks = m_parts.unnamedLinks;
    m_peers =
        peers::PeersModule::makeNetwork(m_loop, *m_clock, *m_logger, m_settings.id, peerLimits);
    m_peers->setAcceptsJobs([this] { return hasRequiredState() && !m_draining; });
    m_topicExchange = std::make_unique<replication::TopicExchange>(
        m_settings.id, *m_peers, m_platform->daemons(), m_loop, *m_clock, *m_logger, *m_metrics);
    for (const auto &[topic, maxAge] : MaxPeerStateAges) {
        m_topicExchange->add(topic, m_platform->topic(topic), maxAge);
    }
    m_rateLimits = ratelimit::RateLimitModule::makeServerRateLimits(*m_logger, *m_metrics);
    m_permitExchange = ratelimit::RateLimitModule::makePermitExchange(
        m_settings.id, m_rateLimits->store(), *m_peers, m_platform->daemons(), m_loop, *m_clock,
        *m_logger, *m_metrics);
    m_leaseExchange = connections::ConnectionsModule::makeLeaseExchange(
        m_settings.id, m_connections->leases(), *m_peers, m_platform->daemons(), m_loop, *m_clock,
        *m_logger, *m_metrics);
    createRollouts();
    m_coordinator = stages::StagesModule::makeCoordinator(*m_serving, *m_servers, *m_rateLimits, {},
                                                          versionFilters(), m_rolloutTraffic.get());
    m_stages = stages::StagesModule::makeService(
        m_settings.id, *m_coordinator, m_platform->stageCalls(), *m_peers, m_platform->daemons(),
        m_loop, *m_clock, *m_logger, *m_metrics);
    m_selector = routing::RoutingModule::makeBackendServerSelector(
        *m_servers, *m_rateLimits, *m_random, selectorFilters(), m_metrics.get());
    m_retryPolicy = retry::RetryModule::makeBudgetedRetryPolicy(*m_random);
    m_quarantine = quarantine::QuarantineModule::makeQuarantine(
        *m_logger, *m_metrics, {}, framework::stableHash(m_settings.id.value()));
    m_crashExchange = quarantine::QuarantineModule::makeCrashExchange(
        m_settings.id, m_quarantine->evidenceStore(), *m_peers, m_loop, *m_clock, *m_logger,
        *m_metrics);
    m_serving->onChange([this] { applyLimits(); });
    m_platform->daemons().onChange([this] {
        updateRetryLimits();
        updateFleet();
    });
    updateRetryLimits();
}

void GatewayDaemon::createRollouts()
{
    rollout::RolloutBounds bounds;
    bounds.exposureShare = m_settings.gateway.exposureShare;
    bounds.exposureSlack = m_settings.gateway.exposureSlack;
    bounds.rollbackLimit = m_settings.gateway.rollbackLimit;
    if (!bounds.isEnabled()) {
        return;
    }
    const std::uint64_t start = framework::FrameworkModule::entropySeed();
    m_rolloutTraffic = rollout::RolloutModule::makeTraffic(*m_servers, bounds, start, *m_clock,
                                                           *m_logger, *m_metrics);
    m_rolloutExchange = rollout::RolloutModule::makeExchange(
        m_settings.id, *m_rolloutTraffic, m_platform->rolloutStatuses(), bounds, start, *m_peers,
        m_platform->daemons(), m_loop, *m_clock, *m_logger, *m_metrics);
    m_platform->setRolloutOrders(*m_rolloutTraffic);
    m_rolloutTraffic->setResultHolders([this] {
        std::set<framework::BackendServerId> holders;
        for (const protocol::StageHolding &holding : m_coordinator->holdings()) {
            if (holding.held > framework::Bytes(0)) {
                holders.insert(holding.server);
            }
        }
        return holders;
    });
}

std::vector<routing::IServerFilter *> GatewayDaemon::versionFilters() const
{
    return m_rolloutTraffic ? std::vector<routing::IServerFilter *>{m_rolloutTraffic.get()}
                            : std::vector<routing::IServerFilter *>();
}

/// Versions are filtered first: whether a connection is free matters only at servers that may be
/// called.
std::vector<routing::IServerFilter *> GatewayDaemon::selectorFilters() const
{
    std::vector<routing::IServerFilter *> filters = versionFilters();
    filters.push_back(&m_connections->filter());
    return filters;
}

/// Sets this gateway's share of the retry budget that all gateways have together. Only half of the
/// budget is distributed, because other gateways may still hold retries saved under an older
/// gateway count.
void GatewayDaemon::updateRetryLimits()
{
    const auto sharers = static_cast<std::uint32_t>(m_platform->daemons().limitSharerCount());
    retry::RetryLimits limits;
    limits.bucketCapacity =
        std::max<std::uint32_t>(m_settings.gateway.sharedRetries / (2 * sharers), 1);
    limits.reserveRetries = 1;
    limits.reserveRefillInterval = RetryWindow;
    m_retryPolicy->setLimits(limits);
}

void GatewayDaemon::updateFleet()
{
    const std::vector<peers::DaemonAddress> &ranking = m_platform->daemons().ranking();
    if (ranking.size() < m_platform->daemons().limitSharerCount()) {
        // The registrations have not been read yet.
        return;
    }
    const auto self = std::find_if(ranking.begin(), ranking.end(), [this](const auto &each) {
        return each.daemon == m_settings.id;
    });
    m_connections->setFleet({ranking.size(), static_cast<std::size_t>(self - ranking.begin())});
}

void GatewayDaemon::createProxy()
{
    proxy::ProxyLimits limits;
    limits.maxConfigurationAge = m_settings.gateway.revocationLimit - RevocationMargin;
    m_proxy = proxy::ProxyModule::makeService(
        {m_settings.zone, *m_clock, m_loop, *m_logger, *m_metrics, *m_random, *m_serving,
         *m_servers, m_platform->daemons(), *m_selector, *m_retryPolicy, *m_quarantine, *m_stages,
         m_platform->backends(), limits, nullptr, m_rolloutTraffic.get()});
    m_clientGateway = std::make_unique<platform::ClientGateway>(*m_proxy, *m_logger, *m_metrics);
}

void GatewayDaemon::createHttpServers()
{
    m_clientServer = makeServer("clients", m_parts.clients);
    m_clientServer->setHandler([this](const std::shared_ptr<http::IHttpExchange> &exchange) {
        m_clientGateway->handle(exchange);
    });
    m_clientServer->onRefused([this](int status) {
        m_metrics->increment("lavendertally_unhandled_requests_total",
                             {{"status", std::to_string(status)}});
    });
    m_clientShutdown = std::make_unique<http::ServerShutdown>(*m_clientServer);
    m_readyServer = makeServer("ready", m_parts.operators);
    m_readyServer->setHandler(
        [this](const std::shared_ptr<http::IHttpExchange> &exchange) { replyReadiness(exchange); });
    m_apis.push_back(frontend::FrontendModule::makeObservabilityApi(*m_metrics, *this));
    m_apis.push_back(std::make_unique<ConfigurationApi>(*m_serving));
    m_metricsServer = makeServer("metrics", m_parts.operators);
    m_metricsServer->setHandler([this](const std::shared_ptr<http::IHttpExchange> &exchange) {
        frontend::FrontendModule::dispatch(m_apis, exchange);
    });
}

std::unique_ptr<http::IHttpServer> GatewayDaemon::makeServer(const char *name,
                                                             const budget::BudgetLimits &limits)
{
    const auto bearer = budget::BudgetModule::makeBudget(limits, *m_clock);
    m_budgets.push_back(
        std::make_unique<budget::BudgetReporter>(bearer, name, *m_clock, *m_logger, *m_metrics));
    return http::HttpModule::makeServer(m_loop, {}, bearer);
}

framework::Result<void> GatewayDaemon::start()
{
    BOOST_LEAF_AUTO(control, m_peers->listen(m_settings.controlListen));
    BOOST_LEAF_AUTO(clients, m_clientServer->listen(m_settings.listen));
    BOOST_LEAF_AUTO(ready, m_readyServer->listen(m_settings.gateway.readyListen));
    BOOST_LEAF_AUTO(metrics, m_metricsServer->listen(m_settings.gateway.metricsListen));
    m_logger->info("gateway started; not ready until the store has been read",
                   {{"version", LAVENDERTALLY_VERSION},
                    {"clients", clients.toString()},
                    {"ready", ready.toString()},
                    {"control", control.toString()},
                    {"metrics", metrics.toString()},
                    {"store", m_settings.gateway.store.toString()},
                    {"zone", m_settings.zone.value()}});
    m_platform->start(control);
    m_topicExchange->start(m_settings.seedPeers);
    tick();
    return {};
}

/// Applies the limits of the active configuration. Requests from clients that rely on an earlier
/// idle timeout may still arrive, so connections stay open for the longest that may be relied on.
void GatewayDaemon::applyLimits()
{
    const auto configuration = m_serving->configuration();
    if (configuration == nullptr) {
        return;
    }
    const serving::RequestLimits limits = configuration->limits();
    const framework::TimePoint now = m_clock->now();
    m_idleTimeouts.set(limits.idleTimeout, now);
    m_clientServer->setLimits(
        httpLimits(limits, m_idleTimeouts.longest(now), m_settings.minBodyRate));
}

bool GatewayDaemon::hasRequiredState() const
{
    return m_serving->configuration() != nullptr && m_servers->hasSynced();
}

bool GatewayDaemon::isReady() const
{
    const framework::Milliseconds age = m_clock->now() - m_serving->confirmedAt();
    return hasRequiredState() && !m_draining
        && age <= m_settings.gateway.revocationLimit - RevocationMargin;
}

void GatewayDaemon::replyReadiness(const std::shared_ptr<http::IHttpExchange> &exchange)
{
    exchange->reply(isReady() ? HttpOk : HttpServiceUnavailable, {}, {});
}

void GatewayDaemon::tick()
{
    m_servers->expire(m_clock->now());
    updateFleet();
    m_connections->tick();
    // Replaced idle timeouts end with time.
    applyLimits();
    for (const auto &reporter : m_budgets) {
        reporter->report();
    }
    if (isReady() != m_wasReady) {
        m_wasReady = !m_wasReady;
        const framework::Milliseconds age = m_clock->now() - m_serving->confirmedAt();
        m_logger->info(
            m_wasReady ? "ready for requests" : "not ready for requests",
            {{"informed", hasRequiredState() ? "yes" : "no"},
             {"newest_configuration", m_serving->isNewestRejected() ? "rejected" : "used"},
             {"draining", m_draining ? "yes" : "no"},
             {"configuration_age_ms", std::to_string(age.value())}});
    }
    m_tickTimer = m_loop.callAfter(TickInterval, [this] { tick(); });
}

void GatewayDaemon::reload()
{
    m_logger->info("reload ignored; changes to the configuration come from the store", {});
}

void GatewayDaemon::drain(std::function<void()> finished)
{
    m_onDrained = std::move(finished);
    m_draining = true;
    m_drainStarted = m_clock->now();
    m_clientShutdown->begin();
    m_proxy->endBy(m_drainStarted + forcedEndAfter());
    m_platform->leave();
    m_stages->handOver();
    m_logger->info("shutting down; no longer ready, requests are still served for now",
                   {{"requests", std::to_string(m_proxy->activeRequests())}});
    checkDrained();
}

framework::Milliseconds GatewayDaemon::forcedEndAfter() const
{
    return m_settings.gateway.shutdownGrace - ShutdownMargin;
}

void GatewayDaemon::checkDrained()
{
    const framework::Milliseconds elapsed = m_clock->now() - m_drainStarted;
    bool serverFinished = false;
    if (elapsed >= LoadBalancerReactionTime) {
        // A request accepted from now on might not finish before the process ends.
        serverFinished = m_clientShutdown->finish();
        m_proxy->beginDrain();
    }
    if (elapsed >= forcedEndAfter()) {
        m_proxy->endAll();
    }
    const bool finished = serverFinished && m_proxy->activeRequests() == 0;
    if (finished || elapsed >= forcedEndAfter() + FlushTime) {
        m_logger->info("gateway stopped",
                       {{"requests", std::to_string(m_proxy->activeRequests())}});
        m_onDrained();
        return;
    }
    m_drainTimer = m_loop.callAfter(DrainCheckInterval, [this] { checkDrained(); });
}

nlohmann::json GatewayDaemon::dumpWork() const
{
    nlohmann::json servers = nlohmann::json::array();
    for (const routing::ServerWorkView &view :
         m_selector->callWork().outstanding(MaxDumpedServers, m_clock->now())) {
        servers.push_back({{"backend_server", view.server.value()},
                           {"own_calls", view.ownCalls},
                           {"unread_tokens", view.unreadTokens.value()},
                           {"unwritten_tokens", view.unwrittenTokens.value()},
                           {"other_calls", view.otherCalls},
                           {"report_age_ms", view.reportAge.value()},
                           {"read_time_percent", view.readTimePercent},
                           {"write_time_percent", view.writeTimePercent}});
    }
    return servers;
}

nlohmann::json GatewayDaemon::dumpState() const
{
    const auto configuration = m_serving->configuration();
    const framework::Milliseconds age = m_clock->now() - m_serving->confirmedAt();
    return {{"daemon", m_settings.id.value()},
            {"role", "gateway"},
            {"availability_zone", m_settings.zone.value()},
            {"version", LAVENDERTALLY_VERSION},
            {"configuration", configuration ? configuration->version().value() : 0},
            {"configuration_age_ms", age.value()},
            {"newest_configuration_rejected", m_serving->isNewestRejected()},
            {"ready", isReady()},
            {"active_requests", m_proxy->activeRequests()},
            {"daemons", m_platform->daemons().ranking().size()},
            {"work", dumpWork()}};
}

} // namespace lavendertally::gateway
