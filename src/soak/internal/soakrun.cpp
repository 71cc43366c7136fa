#include "soak/internal/soakrun.h"

#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/httpmodule.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"
#include "http/types/httpresponse.h"
#include "soak/internal/backendfleet.h"
#include "soak/internal/faultplan.h"
#include "soak/internal/gatewayhost.h"
#include "soak/internal/loadclients.h"
#include "soak/internal/promises.h"
#include "soak/internal/soakrollouts.h"
#include "standins/platformstorestandin.h"
#include "standins/types/fault.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace lavendertally::soak {

namespace {

constexpr int HttpOk = 200;
constexpr const char *OperatorTopic = "keyed.op";
constexpr const char *DaemonsTopic = "keyed.daemons";

/// Time for gateways to start before traffic does.
constexpr framework::Milliseconds StartTime{1500};
/// Quiet time at the end: a third of the platform's bound for a recovery, and time to measure after
/// it.
constexpr framework::Milliseconds RecoveryTime{4000};
constexpr framework::Milliseconds MeasuredTime{1500};
/// Time between two looks whether the last requests have ended.
constexpr framework::Milliseconds EndCheckInterval{50};
constexpr framework::Milliseconds ProbeInterval{500};
constexpr int MissesToLeave = 2;

constexpr std::array LinkModes{ProxyMode::Delay, ProxyMode::Reset, ProxyMode::Silence,
                               ProxyMode::HoldReplies, ProxyMode::HoldRequests};
constexpr std::array StoreModes{standins::FaultMode::Down, standins::FaultMode::Refuse,
                                standins::FaultMode::Slow, standins::FaultMode::Frozen,
                                standins::FaultMode::LostAnswer};
constexpr std::array ServerModes{standins::FaultMode::Down,       standins::FaultMode::Refuse,
                                 standins::FaultMode::Slow,       standins::FaultMode::Frozen,
                                 standins::FaultMode::LostAnswer, standins::FaultMode::Truncated};

} // namespace

SoakRun::SoakRun(const SoakOptions &options)
    : m_options(options), m_loop(framework::FrameworkModule::makeEventLoop()),
      m_clock(framework::FrameworkModule::makeSystemClock()),
      m_promises(std::make_unique<Promises>(
          [this](std::size_t gateway) { return calmSince(gateway); },
          [this](std::size_t gateway) { return m_gateways[gateway]->brokenAt(); })),
      m_store(std::make_unique<standins::PlatformStoreStandIn>(*m_loop)),
      m_balancer(http::HttpModule::makeClient(*m_loop)), m_misses(options.gateways),
      m_later(*m_loop)
{
    if (!m_store->listen({"127.0.0.1", 0})) {
        m_promises->violated("the stand-in of the store cannot listen");
        return;
    }
    m_servers = std::make_unique<BackendFleet>(options, *m_loop, *m_clock, *m_store, *m_promises);
    if (options.rollouts) {
        m_rollouts = std::make_unique<SoakRollouts>(options.seed, *m_loop, *m_clock, *m_store,
                                                    *m_servers, *m_promises);
    }
    publish();
    startGateways();
}

SoakRun::~SoakRun() = default;

void SoakRun::publish()
{
    m_store->put(OperatorTopic, "config", m_configuration.text());
    // Versions rise in uneven steps.
    m_configuration.version += 1 + static_cast<int>(m_configuration.revokedKeys);
}

void SoakRun::startGateways()
{
    for (std::size_t each = 0; each < m_options.gateways; ++each) {
        m_gateways.push_back(std::make_unique<GatewayHost>(each, m_options, m_store->endpoint(),
                                                           *m_loop, *m_clock, *m_promises));
    }
    // Gateways find each other through proxies.
    m_store->setAppendFilter(
        [this](const std::string &topic, const std::string &key, const std::string &value) {
            const std::size_t index = topic == DaemonsTopic ? std::stoul(key.substr(1)) : 0;
            return topic == DaemonsTopic
                ? nlohmann::json{{"endpoint", m_gateways[index]->peerLink().endpoint().toString()}}
                      .dump()
                : value;
        });
    std::vector<framework::Endpoint> endpoints;
    for (std::size_t each = 0; each < m_gateways.size(); ++each) {
        m_gateways[each]->start(m_gateways[(each + 1) % m_gateways.size()]->peerLink().endpoint());
        endpoints.push_back(m_gateways[each]->clients());
    }
    m_load = std::make_unique<LoadClients>(m_options, endpoints, *m_loop, *m_clock, *m_promises);
}

/// As the platform's balancer does: two misses take a gateway out of rotation.
void SoakRun::pollReadiness()
{
    m_probes.clear();
    std::vector<bool> ready;
    for (std::size_t each = 0; each < m_gateways.size(); ++each) {
        ready.push_back(m_misses[each] < MissesToLeave);
        http::HttpRequest request;
        request.endpoint = m_gateways[each]->ready();
        request.target = "/readyz";
        request.timeout = ProbeInterval;
        m_probes.push_back(
            m_balancer->fetch(request, [this, each](const http::HttpResponse &response) {
                const bool isReady =
                    response.end == http::HttpEnd::Complete && response.status == HttpOk;
                m_misses[each] = isReady ? 0 : m_misses[each] + 1;
            }));
    }
    m_load->setReady(std::move(ready));
    m_probeTimer = m_loop->callAfter(ProbeInterval, [this] { pollReadiness(); });
}

const std::vector<std::string> &SoakRun::run()
{
    if (!m_load) {
        return m_promises->violations();
    }
    pollReadiness();
    m_later.callAfter(StartTime, [this] {
        m_load->start();
        if (m_rollouts) {
            m_rollouts->start();
        }
        for (const PlannedFault &fault : makeFaultPlan(m_options)) {
            m_later.callAfter(fault.at, [this, fault] { apply(fault); });
        }
        m_later.callAfter(m_options.duration, [this] { healAll(); });
    });
    m_loop->run();
    m_promises->finish(m_quietSince);
    return m_promises->violations();
}

void SoakRun::apply(const PlannedFault &fault)
{
    ++m_applied[faultName(fault.kind)];
    switch (fault.kind) {
    case FaultKind::GatewayKilled:
    case FaultKind::AllGatewaysKilled:
    case FaultKind::GatewayStopped:
    case FaultKind::GatewayPaused:
    case FaultKind::GatewayReloaded:
    case FaultKind::PeerLink:
    case FaultKind::StoreLink:
        applyToGateway(fault);
        return;
    case FaultKind::StoreFault:
    case FaultKind::StoreLapse:
    case FaultKind::HistoryDropped:
        applyToStore(fault);
        return;
    case FaultKind::ServerLink:
    case FaultKind::ServerFault:
    case FaultKind::ServerBusy:
    case FaultKind::StreamsBreak:
        applyToServer(fault);
        return;
    case FaultKind::ServerReplaced:
    case FaultKind::RouteAdded:
    case FaultKind::KeyRevoked:
    case FaultKind::ZoneOut:
        applyOperatorChange(fault);
        return;
    }
}

void SoakRun::applyToGateway(const PlannedFault &fault)
{
    GatewayHost &gateway = *m_gateways[fault.target % m_gateways.size()];
    switch (fault.kind) {
    case FaultKind::GatewayKilled:
        gateway.kill();
        return;
    case FaultKind::AllGatewaysKilled:
        for (const auto &each : m_gateways) {
            each->kill();
        }
        return;
    case FaultKind::GatewayStopped:
        gateway.stop();
        return;
    case FaultKind::GatewayPaused:
        gateway.pause(fault.duration);
        return;
    case FaultKind::GatewayReloaded:
        gateway.reload();
        return;
    case FaultKind::PeerLink:
        controlDisturbed();
        disturbLink(gateway.peerLink(), fault);
        return;
    default:
        controlDisturbed();
        disturbLink(gateway.storeLink(), fault);
    }
}

void SoakRun::disturbLink(LoopbackProxy &link, const PlannedFault &fault)
{
    constexpr std::int64_t DelaySpread = 400;
    const auto delay = static_cast<std::int64_t>(fault.variant) % DelaySpread;
    link.setMode(LinkModes[fault.variant % LinkModes.size()], framework::Milliseconds(delay));
    m_later.callAfter(fault.duration, [this, &link] {
        link.setMode(ProxyMode::Pass);
        controlDisturbed();
        m_promises->serversDisturbed(m_clock->now());
    });
}

void SoakRun::applyToStore(const PlannedFault &fault)
{
    if (fault.kind == FaultKind::HistoryDropped) {
        m_store->dropHistory(OperatorTopic);
        m_store->dropHistory("keyed.servers");
        return;
    }
    if (fault.kind == FaultKind::StoreLapse) {
        disturbStore(standins::FaultMode::Frozen, fault.duration);
        m_later.callAfter(fault.duration, [this] { m_servers->lapse(); });
        return;
    }
    disturbStore(StoreModes[fault.variant % StoreModes.size()], fault.duration);
}

void SoakRun::disturbStore(standins::FaultMode mode, framework::Milliseconds time)
{
    controlDisturbed();
    standins::Fault fault;
    fault.mode = mode;
    m_store->setFault(fault);
    m_later.callAfter(time, [this] {
        m_store->setFault({});
        controlDisturbed();
    });
}

void SoakRun::applyToServer(const PlannedFault &fault)
{
    BackendHost &host = m_servers->pick(fault.target);
    standins::PlatformServerStandIn &server = *host.server;
    m_promises->serversDisturbed(m_clock->now());
    switch (fault.kind) {
    case FaultKind::ServerLink:
        disturbLink(*host.link, fault);
        return;
    case FaultKind::ServerBusy:
        server.setFull(true);
        break;
    case FaultKind::StreamsBreak:
        server.setBreakAfter(1 + fault.variant % 4);
        break;
    default: {
        standins::Fault mode;
        mode.mode = ServerModes[fault.variant % ServerModes.size()];
        server.setFault(mode);
    }
    }
    m_later.callAfter(fault.duration, [this, &server] {
        server.setFull(false);
        server.setBreakAfter(0);
        server.setFault({});
        m_promises->serversDisturbed(m_clock->now());
    });
}

void SoakRun::applyOperatorChange(const PlannedFault &fault)
{
    switch (fault.kind) {
    case FaultKind::ServerReplaced:
        m_servers->replace(fault.target, fault.variant % 2 == 0);
        return;
    case FaultKind::RouteAdded:
        m_configuration.hasAddedRoute = true;
        publish();
        m_promises->routeAdded(m_clock->now());
        m_load->useAddedRoute();
        return;
    case FaultKind::KeyRevoked:
        revokeKey();
        return;
    default:
        takeZoneOut(fault.duration);
    }
}

void SoakRun::revokeKey()
{
    // One team keeps its key, so that there is always proper traffic.
    if (m_configuration.revokedKeys + 2 > LoadClients::TeamCount) {
        return;
    }
    ++m_configuration.revokedKeys;
    publish();
    m_promises->keyRevoked(LoadClients::team(m_configuration.revokedKeys), m_clock->now());
}

void SoakRun::takeZoneOut(framework::Milliseconds time)
{
    if (std::exchange(m_zoneIsOut, true)) {
        return;
    }
    m_store->put(OperatorTopic, "evacuate/zb", "{}");
    m_promises->zoneOut(m_servers->inZone("zb"), m_clock->now());
    // Long enough for the bound to pass now and then.
    constexpr std::int64_t Stretch = 4;
    m_later.callAfter(framework::Milliseconds(time.value() * Stretch), [this] {
        m_zoneIsOut = false;
        m_promises->zoneBack();
        m_store->remove(OperatorTopic, "evacuate/zb");
    });
}

void SoakRun::healAll()
{
    if (m_rollouts) {
        m_rollouts->stop();
    }
    m_store->setFault({});
    m_servers->heal();
    for (const auto &gateway : m_gateways) {
        gateway->storeLink().setMode(ProxyMode::Pass);
        gateway->peerLink().setMode(ProxyMode::Pass);
    }
    controlDisturbed();
    m_promises->serversDisturbed(m_clock->now());
    m_later.callAfter(RecoveryTime, [this] {
        m_quietSince = m_clock->now();
        m_later.callAfter(MeasuredTime, [this] { endTraffic(); });
    });
}

void SoakRun::endTraffic()
{
    m_load->stop();
    if (m_load->isIdle()) {
        m_loop->stop();
        return;
    }
    m_later.callAfter(EndCheckInterval, [this] { endTraffic(); });
}

framework::TimePoint SoakRun::calmSince(std::size_t gateway) const
{
    const GatewayHost &host = *m_gateways[gateway];
    return std::max({host.disturbedUntil(), host.brokenAt(), m_controlDisturbed});
}

void SoakRun::controlDisturbed()
{
    m_controlDisturbed = m_clock->now();
}

std::string SoakRun::summary() const
{
    std::string text = "seed " + std::to_string(m_options.seed)
        + (m_options.planned ? " (planned work)" : "") + ": "
        + std::to_string(m_promises->requests()) + " requests, "
        + std::to_string(m_promises->served()) + " served;";
    for (const auto &[name, count] : m_applied) {
        text += " " + name + " " + std::to_string(count) + ",";
    }
    text.back() = '.';
    return m_rollouts ? text + m_rollouts->summary() : text;
}

} // namespace lavendertally::soak
