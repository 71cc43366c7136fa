#include "soak/internal/backendfleet.h"

#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "soak/internal/promises.h"
#include "soak/internal/soakoptions.h"
#include "standins/platformstorestandin.h"
#include "standins/types/fault.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace lavendertally::soak {

namespace {

constexpr const char *ServersTopic = "keyed.servers";
/// Live servers are registered again within the platform's two seconds.
constexpr framework::Milliseconds LapseTime{1200};
constexpr int Slots = 64;

} // namespace

BackendFleet::BackendFleet(const SoakOptions &options, framework::IEventLoop &loop,
                           const framework::IClock &clock, standins::PlatformStoreStandIn &store,
                           Promises &promises)
    : m_loop(loop), m_clock(clock), m_store(store), m_promises(promises),
      m_serversOfAService(options.servers), m_hasVersions(options.rollouts)
{
    for (const char *service : {"desk", "archive", "models", "pool"}) {
        for (std::size_t each = 0; each < options.servers; ++each) {
            add(service, each % 2 == 0 ? "za" : "zb", "v1");
        }
    }
    registerAll();
}

BackendFleet::~BackendFleet() = default;

void BackendFleet::add(const std::string &service, const std::string &zone,
                       const std::string &version)
{
    auto host = std::make_unique<BackendHost>();
    host->born = m_nextId;
    host->version = version;
    host->id = service + "-" + std::to_string(m_nextId++);
    host->service = service;
    host->zone = zone;
    host->server = std::make_unique<standins::PlatformServerStandIn>(m_loop, host->id);
    if (!host->server->listen({"127.0.0.1", 0})) {
        m_promises.violated("a stand-in cannot listen");
        return;
    }
    host->server->setWorkTime(framework::Milliseconds(service == "models" ? 30 : 10));
    host->server->onRun([this, id = host->id](const std::string &request, const std::string &team) {
        m_promises.ran(request, team, id, m_clock.now());
    });
    host->link = std::make_unique<LoopbackProxy>(m_loop, host->server->endpoint());
    m_hosts.push_back(std::move(host));
}

void BackendFleet::registerAll()
{
    ++m_heartbeats;
    if (!m_lapsed) {
        for (const auto &host : m_hosts) {
            put(*host, "ready");
        }
    }
    m_registerTimer = m_loop.callAfter(RegisterInterval, [this] { registerAll(); });
}

void BackendFleet::put(const BackendHost &host, const char *state)
{
    nlohmann::json entry = {
        {"service", host.service}, {"address", host.link->endpoint().toString()},
        {"zone", host.zone},       {"slots", Slots},
        {"state", state},          {"sequence", m_heartbeats}};
    if (m_hasVersions) {
        entry["version"] = host.version;
        entry["born"] = host.born;
    }
    m_store.put(ServersTopic, host.id, entry.dump());
}

void BackendFleet::replace(std::size_t number, bool announced)
{
    const std::size_t place = number % m_hosts.size();
    std::unique_ptr<BackendHost> old = std::move(m_hosts[place]);
    m_hosts.erase(m_hosts.begin() + static_cast<std::ptrdiff_t>(place));
    add(old->service, old->zone, old->version);
    put(*m_hosts.back(), "ready");
    leave(std::move(old), announced);
}

void BackendFleet::leave(std::unique_ptr<BackendHost> host, bool announced)
{
    if (announced) {
        put(*host, "draining");
    } else {
        m_store.remove(ServersTopic, host->id);
    }
    m_promises.serverLeft(host->id, m_clock.now());
    m_left.push_back(std::move(host));
}

std::vector<BackendHost *> BackendFleet::addVersion(const std::string &service,
                                                    const std::string &version)
{
    std::vector<BackendHost *> added;
    for (std::size_t each = 0; each < m_serversOfAService; ++each) {
        add(service, each % 2 == 0 ? "za" : "zb", version);
        put(*m_hosts.back(), "ready");
        added.push_back(m_hosts.back().get());
    }
    return added;
}

std::vector<BackendHost *> BackendFleet::ofService(const std::string &service) const
{
    std::vector<BackendHost *> result;
    for (const auto &host : m_hosts) {
        if (host->service == service) {
            result.push_back(host.get());
        }
    }
    return result;
}

void BackendFleet::retire(const std::vector<BackendHost *> &hosts, bool announced)
{
    for (const BackendHost *host : hosts) {
        const auto found = std::find_if(m_hosts.begin(), m_hosts.end(),
                                        [host](const auto &each) { return each.get() == host; });
        if (found != m_hosts.end()) {
            std::unique_ptr<BackendHost> left = std::move(*found);
            m_hosts.erase(found);
            leave(std::move(left), announced);
        }
    }
}

void BackendFleet::lapse()
{
    m_lapsed = true;
    for (const auto &host : m_hosts) {
        m_store.remove(ServersTopic, host->id);
    }
    m_returnTimer = m_loop.callAfter(LapseTime, [this] {
        m_lapsed = false;
        for (const auto &host : m_hosts) {
            put(*host, "ready");
        }
    });
}

std::set<std::string> BackendFleet::inZone(const std::string &zone) const
{
    std::set<std::string> ids;
    for (const auto &host : m_hosts) {
        if (host->zone == zone) {
            ids.insert(host->id);
        }
    }
    return ids;
}

void BackendFleet::heal()
{
    for (const auto &host : m_hosts) {
        host->link->setMode(ProxyMode::Pass);
        host->server->setFault({});
        host->server->setFull(false);
        host->server->setBreakAfter(0);
    }
}

} // namespace lavendertally::soak
