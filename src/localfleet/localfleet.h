#pragma once

#include "framework/result.h"
#include "framework/types/endpoint.h"
#include "http/types/httpresponse.h"
#include "localfleet/types/fleethost.h"
#include "localfleet/types/fleetoptions.h"

#include <memory>
#include <string>
#include <vector>

namespace lavendertally::framework {
class IEventLoop;
}

namespace lavendertally::http {
class IHttpClient;
}

namespace lavendertally::localfleet {

class ChildProcess;

/// Starts daemons and stand-ins as processes on loopback, for tests, benchmarks and the demo.
/// Everything it started is killed when it is destroyed.
class LocalFleet
{
public:
    LocalFleet(framework::IEventLoop &loop, FleetOptions options);
    ~LocalFleet();
    LocalFleet(const LocalFleet &) = delete;
    LocalFleet &operator=(const LocalFleet &) = delete;

    /// Starts everything and publishes the host list.
    /// \return nothing, or FleetError with an ErrorContext
    framework::Result<void> start();

    /// Starts the daemon of \p host again after it ended, and publishes its new addresses.
    framework::Result<void> restartDaemon(FleetHost &host);

    /// Publishes the host list as the hosts' entries say.
    void publishHostList();

    /// Runs lavendertallyctl against an entry and waits for its end.
    /// \return its exit status
    int runTool(const std::vector<std::string> &arguments);

    /// Sends one request and runs the loop until its response is there.
    http::HttpResponse get(const framework::Endpoint &endpoint, const std::string &target);
    http::HttpResponse post(const framework::Endpoint &endpoint, const std::string &target,
                            const std::string &body);

    std::vector<FleetHost> &entries() { return m_entries; }
    std::vector<FleetHost> &hosts() { return m_hosts; }
    const framework::Endpoint &logService() const { return m_logService; }
    const framework::Endpoint &hostList() const { return m_hostList; }
    ChildProcess &logProcess() { return *m_logProcess; }
    http::IHttpClient &client() { return *m_client; }

private:
    framework::Result<framework::Endpoint> startStandIn(const std::string &program,
                                                        const std::vector<std::string> &arguments,
                                                        std::shared_ptr<ChildProcess> &process);
    framework::Result<void> startBackend(const FleetService &service,
                                         const framework::AvailabilityZoneId &zone,
                                         std::uint32_t index);
    framework::Result<void> startEntry(const framework::AvailabilityZoneId &zone,
                                       std::uint32_t index);
    framework::Result<void> startDaemon(FleetHost &host);
    void writeSettings(const FleetHost &host) const;

    framework::IEventLoop &m_loop;
    FleetOptions m_options;
    std::unique_ptr<http::IHttpClient> m_client;
    std::shared_ptr<ChildProcess> m_logProcess;
    std::shared_ptr<ChildProcess> m_hostListProcess;
    framework::Endpoint m_logService;
    framework::Endpoint m_hostList;
    std::vector<FleetHost> m_entries;
    std::vector<FleetHost> m_hosts;
};

} // namespace lavendertally::localfleet
