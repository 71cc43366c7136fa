#include "rollout/internal/versiontraffic.h"

#include "framework/iclock.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "membership/ibackendservers.h"
#include "membership/types/backendserverentry.h"
#include "routing/types/serverquery.h"

#include <algorithm>
#include <utility>

namespace lavendertally::rollout {

namespace {

/// Beyond this number, servers that are not registered any more are forgotten.
constexpr std::size_t MaxKnownServers = 8192;

} // namespace

VersionTraffic::VersionTraffic(const membership::IBackendServers &servers,
                               const RolloutBounds &bounds, std::uint64_t start,
                               const framework::IClock &clock, framework::ILogger &logger,
                               framework::IMetrics &metrics)
    : m_servers(servers), m_bounds(bounds), m_start(start), m_clock(clock), m_logger(logger),
      m_metrics(metrics)
{ }

void VersionTraffic::refresh(const framework::ServiceId &id, Service &service)
{
    const membership::MembershipGeneration generation = m_servers.generation();
    if (service.generation != generation) {
        service.generation = generation;
        service.traffic->setServers(m_servers.admitting(id));
    }
}

VersionTraffic::Service &VersionTraffic::entry(const framework::ServiceId &service)
{
    Service &found = m_services[service];
    if (!found.traffic) {
        found.traffic = std::make_unique<ServiceTraffic>(service, m_bounds, m_start);
    }
    return found;
}

ServiceTraffic &VersionTraffic::traffic(const framework::ServiceId &service)
{
    Service &found = entry(service);
    refresh(service, found);
    return *found.traffic;
}

ServiceTraffic *VersionTraffic::find(const framework::ServiceId &service)
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return nullptr;
    }
    refresh(service, found->second);
    return found->second.traffic.get();
}

std::vector<framework::ServiceId> VersionTraffic::ordered() const
{
    std::vector<framework::ServiceId> services;
    for (const auto &[id, service] : m_services) {
        if (service.traffic->order()) {
            services.push_back(id);
        }
    }
    return services;
}

void VersionTraffic::restrict(const routing::ServerQuery &query,
                              std::vector<const membership::BackendServerEntry *> &candidates,
                              framework::TimePoint /*now*/)
{
    const ServiceTraffic &service = traffic(query.service);
    if (service.isRestricted()) {
        std::erase_if(candidates, [&service](const membership::BackendServerEntry *server) {
            return !service.admits(*server);
        });
    }
}

void VersionTraffic::prefer(const routing::ServerQuery &query,
                            std::vector<const membership::BackendServerEntry *> &candidates,
                            framework::TimePoint /*now*/)
{
    const ServiceTraffic &service = traffic(query.service);
    const auto isPreferred = [&service](const membership::BackendServerEntry *server) {
        return service.isPreferred(*server);
    };
    if (service.order() && std::any_of(candidates.begin(), candidates.end(), isPreferred)) {
        std::erase_if(candidates, [&](const auto *server) { return !isPreferred(server); });
    }
}

void VersionTraffic::callStarted(const membership::BackendServerEntry &server,
                                 framework::TimePoint /*now*/)
{
    if (m_serviceOf.size() > MaxKnownServers) {
        std::erase_if(m_serviceOf, [this](const auto &entry) {
            return m_servers.findAdmitting(entry.first) == nullptr;
        });
    }
    m_serviceOf[server.id] = server.service;
    ServiceTraffic &service = traffic(server.service);
    service.callStarted(server);
    if (service.order()) {
        m_metrics.increment(
            "lavendertally_rollout_requests_total",
            {{"service", server.service.value()}, {"version", server.version.value()}});
    }
}

void VersionTraffic::callEnded(const framework::BackendServerId &server,
                               framework::TimePoint /*now*/)
{
    const auto service = m_serviceOf.find(server);
    if (service != m_serviceOf.end()) {
        traffic(service->second).callEnded(server);
    }
}

void VersionTraffic::answered(const framework::BackendServerId &server,
                              const framework::RouteId &route, AnswerQuality quality,
                              framework::Milliseconds time)
{
    const auto service = m_serviceOf.find(server);
    if (service == m_serviceOf.end()) {
        return;
    }
    if (const auto version = traffic(service->second).answered(server, route, quality, time)) {
        m_metrics.increment("lavendertally_rollout_answers_total",
                            {{"service", service->second.value()},
                             {"version", version->value()},
                             {"quality", quality == AnswerQuality::Failed ? "failed" : "sound"}});
    }
}

void VersionTraffic::put(const RolloutOrder &order)
{
    Service &found = entry(order.service);
    // The first servers of a service come after the order, so that its target is not taken for the
    // version in use.
    if (found.generation) {
        refresh(order.service, found);
    }
    ServiceTraffic &service = *found.traffic;
    const bool isNew = service.setOrder(order, m_clock.now());
    refresh(order.service, found);
    if (isNew) {
        m_logger.info("order for a rollout; the new version gets nothing until its step is known",
                      {{"service", order.service.value()},
                       {"target", order.target.value()},
                       {"duration_ms", std::to_string(order.duration.value())},
                       {"offset", std::to_string(order.id.offset.value())},
                       {"target_servers", std::to_string(service.targetServers())},
                       {"other_servers", std::to_string(service.otherServers())}});
    }
    m_onOrders();
}

void VersionTraffic::remove(const framework::ServiceId &service)
{
    ServiceTraffic &found = traffic(service);
    if (!found.order()) {
        return;
    }
    m_logger.info("order for a rollout was taken back; requests go to the version in use",
                  {{"service", service.value()}, {"target", found.order()->target.value()}});
    found.clearOrder();
    m_onOrders();
}

} // namespace lavendertally::rollout
