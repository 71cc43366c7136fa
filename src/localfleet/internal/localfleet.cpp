#include "localfleet/localfleet.h"

#include "framework/ieventloop.h"
#include "framework/types/errorcontext.h"
#include "http/httpmodule.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"
#include "localfleet/childprocess.h"
#include "localfleet/types/fleeterror.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace lavendertally::localfleet {

namespace {

constexpr framework::Milliseconds StartTimeout{10000};
constexpr framework::Milliseconds ToolTimeout{20000};
constexpr framework::Milliseconds CallTimeout{60000};
constexpr const char *ListeningPrefix = "listening ";

framework::leaf::error_id startFailed(const std::string &what)
{
    return framework::leaf::new_error(FleetError::StartFailed, framework::ErrorContext{what});
}

framework::Endpoint parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

/// \return address behind \p key in a line such as `listening http=A:P control=A:P`
framework::Endpoint namedEndpoint(const std::string &line, const std::string &key)
{
    std::istringstream words(line);
    for (std::string word; words >> word;) {
        if (word.starts_with(key + "=")) {
            return parseEndpoint(word.substr(key.size() + 1));
        }
    }
    return {};
}

nlohmann::json hostJson(const membership::HostEntry &entry)
{
    const bool isEntry = entry.role == membership::HostRole::Entry;
    nlohmann::json host = {
        {"host", entry.id.value()},
        {"availability_zone", entry.zone.value()},
        {"role", isEntry ? "entry" : "backend"},
        {"state", entry.state == membership::HostState::Live ? "live" : "leaving"},
        {"http", entry.http.toString()},
        {"control", entry.control.toString()}};
    if (!isEntry) {
        host["service"] = entry.service.value();
    }
    return host;
}

} // namespace

LocalFleet::LocalFleet(framework::IEventLoop &loop, FleetOptions options)
    : m_loop(loop), m_options(std::move(options)), m_client(http::HttpModule::makeClient(loop))
{
    std::filesystem::create_directories(m_options.workFolder);
}

LocalFleet::~LocalFleet() = default;

framework::Result<void> LocalFleet::start()
{
    BOOST_LEAF_ASSIGN(m_logService,
                      startStandIn("standinlog", m_options.logArguments, m_logProcess));
    BOOST_LEAF_ASSIGN(
        m_hostList,
        startStandIn("standinhostlist", m_options.hostListArguments, m_hostListProcess));
    for (const framework::AvailabilityZoneId &zone : m_options.zones) {
        for (std::uint32_t index = 0; index < m_options.entriesPerZone; ++index) {
            BOOST_LEAF_CHECK(startEntry(zone, index));
        }
        for (const FleetService &service : m_options.services) {
            for (std::uint32_t index = 0; index < service.backendsPerZone; ++index) {
                BOOST_LEAF_CHECK(startBackend(service, zone, index));
            }
        }
    }
    publishHostList();
    return {};
}

framework::Result<framework::Endpoint>
LocalFleet::startStandIn(const std::string &program, const std::vector<std::string> &arguments,
                         std::shared_ptr<ChildProcess> &process)
{
    process = std::make_shared<ChildProcess>(m_options.binaries + "/" + program, arguments,
                                             m_options.workFolder + "/" + program + ".log");
    const auto line = process->waitForLine(ListeningPrefix, StartTimeout);
    if (!line) {
        return startFailed(program + " did not say where it listens");
    }
    return parseEndpoint(line->substr(std::string(ListeningPrefix).size()));
}

framework::Result<void> LocalFleet::startEntry(const framework::AvailabilityZoneId &zone,
                                               std::uint32_t index)
{
    FleetHost host;
    host.entry.id = framework::HostId("entry-" + zone.value() + "-" + std::to_string(index));
    host.entry.zone = zone;
    host.entry.role = membership::HostRole::Entry;
    BOOST_LEAF_CHECK(startDaemon(host));
    m_entries.push_back(std::move(host));
    return {};
}

framework::Result<void> LocalFleet::startBackend(const FleetService &service,
                                                 const framework::AvailabilityZoneId &zone,
                                                 std::uint32_t index)
{
    FleetHost host;
    host.entry.id =
        framework::HostId(service.id.value() + "-" + zone.value() + "-" + std::to_string(index));
    host.entry.zone = zone;
    host.entry.service = service.id;
    BOOST_LEAF_ASSIGN(host.backendEndpoint,
                      startStandIn(service.program, service.arguments, host.backend));
    BOOST_LEAF_CHECK(startDaemon(host));
    m_hosts.push_back(std::move(host));
    return {};
}

framework::Result<void> LocalFleet::startDaemon(FleetHost &host)
{
    host.settingsFile = m_options.workFolder + "/" + host.entry.id.value() + ".yaml";
    writeSettings(host);
    host.daemon =
        std::make_shared<ChildProcess>(m_options.binaries + "/lavendertallyd",
                                       std::vector<std::string>{"--settings", host.settingsFile},
                                       m_options.workFolder + "/" + host.entry.id.value() + ".log");
    const auto line = host.daemon->waitForLine(ListeningPrefix, StartTimeout);
    if (!line) {
        return startFailed("daemon of " + host.entry.id.value() + " did not say where it listens");
    }
    host.entry.http = namedEndpoint(*line, "http");
    host.entry.control = namedEndpoint(*line, "control");
    return {};
}

framework::Result<void> LocalFleet::restartDaemon(FleetHost &host)
{
    BOOST_LEAF_CHECK(startDaemon(host));
    publishHostList();
    return {};
}

void LocalFleet::writeSettings(const FleetHost &host) const
{
    const bool isEntry = host.entry.role == membership::HostRole::Entry;
    std::ofstream file(host.settingsFile);
    file << "role: " << (isEntry ? "entry" : "host") << "\n"
         << "id: " << host.entry.id << "\n"
         << "host: " << host.entry.id << "\n"
         << "availability_zone: " << host.entry.zone << "\n"
         << "listen: 127.0.0.1:0\n"
         << "control_listen: 127.0.0.1:0\n"
         << "log_service: " << m_logService.toString() << "\n"
         << "host_list: " << m_hostList.toString() << "\n";
    if (!isEntry) {
        file << "backend:\n  endpoint: " << host.backendEndpoint.toString()
             << "\n  service: " << host.entry.service << "\n";
    }
}

void LocalFleet::publishHostList()
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const FleetHost &entry : m_entries) {
        hosts.push_back(hostJson(entry.entry));
    }
    for (const FleetHost &host : m_hosts) {
        hosts.push_back(hostJson(host.entry));
    }
    post(m_hostList, "/admin/hosts", nlohmann::json{{"hosts", hosts}}.dump());
}

int LocalFleet::runTool(const std::vector<std::string> &arguments)
{
    std::vector<std::string> all{"--entry", m_entries.front().entry.http.toString()};
    all.insert(all.end(), arguments.begin(), arguments.end());
    ChildProcess tool(m_options.binaries + "/lavendertallyctl", all,
                      m_options.workFolder + "/lavendertallyctl.log");
    return tool.wait(ToolTimeout).value_or(-1);
}

http::HttpResponse LocalFleet::get(const framework::Endpoint &endpoint, const std::string &target)
{
    http::HttpRequest request;
    request.endpoint = endpoint;
    request.target = target;
    request.timeout = CallTimeout;
    http::HttpResponse result;
    const auto call = m_client->fetch(request, [&](http::HttpResponse response) {
        result = std::move(response);
        m_loop.stop();
    });
    m_loop.run();
    return result;
}

http::HttpResponse LocalFleet::post(const framework::Endpoint &endpoint, const std::string &target,
                                    const std::string &body)
{
    http::HttpRequest request;
    request.endpoint = endpoint;
    request.method = http::HttpMethod::Post;
    request.target = target;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body;
    request.timeout = CallTimeout;
    http::HttpResponse result;
    const auto call = m_client->fetch(request, [&](http::HttpResponse response) {
        result = std::move(response);
        m_loop.stop();
    });
    m_loop.run();
    return result;
}

} // namespace lavendertally::localfleet
