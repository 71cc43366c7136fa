#include "connections/internal/connectionreport.h"

#include "connections/internal/serverconnections.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"

#include <string>
#include <utility>

namespace lavendertally::connections {

namespace {

constexpr const char *RejectedEvent =
    "backend server rejected a connection; no new one is opened to it for a moment";
constexpr const char *RefusedEvent =
    "all connections of this gateway's share are in use and enough calls wait; call refused";
constexpr const char *Gauge = "lavendertally_backend_connections";

} // namespace

ConnectionReport::ConnectionReport(framework::ILogger &logger, framework::IMetrics &metrics,
                                   framework::Milliseconds logInterval)
    : m_logger(logger), m_metrics(metrics), m_logInterval(logInterval)
{ }

void ConnectionReport::opened(const framework::ServiceId &service)
{
    m_metrics.increment("lavendertally_backend_connections_opened_total",
                        {{"service", service.value()}});
}

void ConnectionReport::rejected(const framework::Endpoint &server,
                                const ServerConnections &connections, framework::TimePoint now)
{
    m_metrics.increment("lavendertally_backend_connections_refused_total",
                        {{"service", connections.service().value()}, {"by", "server"}});
    log(RejectedEvent, server, connections, now);
}

void ConnectionReport::refused(const framework::Endpoint &server,
                               const ServerConnections &connections, framework::TimePoint now)
{
    m_metrics.increment("lavendertally_backend_connections_refused_total",
                        {{"service", connections.service().value()}, {"by", "share"}});
    log(RefusedEvent, server, connections, now);
}

void ConnectionReport::waitEnded(const framework::ServiceId &service, bool isServed)
{
    m_metrics.increment(
        "lavendertally_backend_connection_waits_total",
        {{"service", service.value()}, {"outcome", isServed ? "served" : "given_up"}});
}

void ConnectionReport::setGauges(const std::map<framework::Endpoint, ServerConnections> &all,
                                 framework::TimePoint now)
{
    for (auto &[service, sums] : m_sums) {
        sums = {};
    }
    for (const auto &[endpoint, connections] : all) {
        Sums &sums = m_sums[connections.service()];
        sums.inUse += connections.inUse();
        sums.idle += connections.idle();
        sums.waiting += connections.waiting();
        sums.share += connections.share(now);
        sums.borrowed += connections.borrowed(now);
    }
    for (const auto &[service, sums] : m_sums) {
        const auto set = [&, &name = service](const char *state, std::int64_t value) {
            m_metrics.setGauge(Gauge, {{"service", name.value()}, {"state", state}}, value);
        };
        set("in_use", sums.inUse);
        set("idle", sums.idle);
        set("waiting", sums.waiting);
        set("share", sums.share);
        set("borrowed", sums.borrowed);
    }
}

void ConnectionReport::log(const char *event, const framework::Endpoint &server,
                           const ServerConnections &connections, framework::TimePoint now)
{
    Notice &notice = m_notices[{event, connections.service()}];
    if (now < notice.next) {
        ++notice.suppressed;
        return;
    }
    notice.next = now + m_logInterval;
    m_logger.warning(event,
                     {{"service", connections.service().value()},
                      {"endpoint", server.toString()},
                      {"share", std::to_string(connections.share(now))},
                      {"in_use", std::to_string(connections.inUse())},
                      {"idle", std::to_string(connections.idle())},
                      {"waiting", std::to_string(connections.waiting())},
                      {"earlier_not_logged", std::to_string(std::exchange(notice.suppressed, 0))}});
}

} // namespace lavendertally::connections
