#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"

#include <cstdint>
#include <map>
#include <utility>

namespace lavendertally::framework {
class ILogger;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::connections {

class ServerConnections;

/// Log lines and metrics of the connections to backend servers, by service.
class ConnectionReport
{
public:
    ConnectionReport(framework::ILogger &logger, framework::IMetrics &metrics,
                     framework::Milliseconds logInterval);

    void opened(const framework::ServiceId &service);
    /// The server has rejected a connection.
    void rejected(const framework::Endpoint &server, const ServerConnections &connections,
                  framework::TimePoint now);
    /// A call found no connection and may not wait.
    void refused(const framework::Endpoint &server, const ServerConnections &connections,
                 framework::TimePoint now);
    void waitEnded(const framework::ServiceId &service, bool isServed);
    /// Sets the gauges to the sums over the servers of each service.
    void setGauges(const std::map<framework::Endpoint, ServerConnections> &all,
                   framework::TimePoint now);

private:
    struct Sums
    {
        std::int64_t inUse = 0;
        std::int64_t idle = 0;
        std::int64_t waiting = 0;
        std::int64_t share = 0;
        std::int64_t borrowed = 0;
    };
    struct Notice
    {
        framework::TimePoint next;
        std::uint32_t suppressed = 0;
    };

    void log(const char *event, const framework::Endpoint &server,
             const ServerConnections &connections, framework::TimePoint now);

    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    framework::Milliseconds m_logInterval;
    /// By event and service.
    std::map<std::pair<const char *, framework::ServiceId>, Notice> m_notices;
    /// Services whose gauges have been set.
    std::map<framework::ServiceId, Sums> m_sums;
};

} // namespace lavendertally::connections
