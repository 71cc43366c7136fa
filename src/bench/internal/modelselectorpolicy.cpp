#include "bench/internal/modelselectorpolicy.h"

#include "bench/internal/modelrequest.h"
#include "framework/frameworkmodule.h"
#include "framework/irandom.h"
#include "routing/ibackendserverselector.h"
#include "routing/icallwork.h"
#include "routing/routingmodule.h"

#include <cmath>
#include <string>

namespace lavendertally::bench {

namespace {

constexpr const char *ServiceName = "models";

/// The clock of a machine is far from its epoch.
framework::TimePoint toTimePoint(double now)
{
    constexpr std::int64_t Start = 1000000;
    return framework::TimePoint(Start + std::llround(now));
}

std::string zoneName(std::size_t zone)
{
    return "z" + std::to_string(zone);
}

const char *routeOf(ModelKind kind)
{
    switch (kind) {
    case ModelKind::Urgent:
        return "urgent";
    case ModelKind::Short:
        return "short";
    case ModelKind::Medium:
        return "medium";
    }
    return "";
}

} // namespace

ModelSelectorPolicy::ModelSelectorPolicy(const std::vector<ModelServer> &servers, std::size_t zone,
                                         std::uint64_t seed, bool statesWork)
    : m_zone(zoneName(zone)), m_statesWork(statesWork),
      m_random(framework::FrameworkModule::makeRandom(seed)),
      m_selector(routing::RoutingModule::makeBackendServerSelector(m_servers, m_rateLimits.limits(),
                                                                   *m_random))
{
    for (std::size_t index = 0; index < servers.size(); ++index) {
        membership::BackendServerEntry entry;
        entry.id = framework::BackendServerId("model-" + std::to_string(index));
        entry.service = framework::ServiceId(ServiceName);
        entry.zone = framework::AvailabilityZoneId(zoneName(servers[index].spec().zone));
        entry.slots = servers[index].load(0.0).slots;
        m_servers.add(entry);
        m_ids.push_back(entry.id);
        m_indexes[entry.id] = index;
    }
}

ModelSelectorPolicy::~ModelSelectorPolicy() = default;

routing::ServerQuery ModelSelectorPolicy::query(const ModelRequest &request) const
{
    routing::ServerQuery query;
    query.service = framework::ServiceId(ServiceName);
    query.zone = m_zone;
    const std::size_t count = request.parts.size();
    query.prefixHash = request.parts[count > 1 ? count - 2 : 0].id.value();
    if (m_statesWork) {
        query.work.route = framework::RouteId(routeOf(request.kind));
        query.work.promptTokens = framework::TokenCount(request.promptTokens);
        query.work.parts = request.parts;
        query.work.maxOutputTokens = framework::TokenCount(request.maxOutputTokens);
        query.work.lengthHint = framework::TokenCount(request.lengthHint);
        query.work.objectiveLeft = framework::Milliseconds(std::llround(request.objectiveLeftMs));
        query.work.maxEventGap = framework::Milliseconds(std::llround(request.maxPauseMs));
    }
    return query;
}

std::size_t ModelSelectorPolicy::send(std::size_t index, const ModelRequest &request, double now)
{
    const framework::TimePoint at = toTimePoint(now);
    const routing::ServerQuery serverQuery = query(request);
    const auto chosen = m_selector->select(serverQuery, at);
    Call call;
    call.server = m_indexes.at(chosen->id);
    call.started = at;
    m_selector->callStarted(chosen->id, at);
    if (m_statesWork) {
        call.number = m_selector->callWork().started(chosen->id, serverQuery, at);
    }
    m_calls[index] = call;
    return call.server;
}

void ModelSelectorPolicy::eventReceived(std::size_t index, bool isFirst, double now)
{
    const Call &call = m_calls.at(index);
    if (isFirst) {
        m_selector->responseStarted(m_ids[call.server], call.started, toTimePoint(now));
    }
    m_selector->callWork().eventReceived(call.number, toTimePoint(now));
}

void ModelSelectorPolicy::ended(std::size_t index, bool isWhole, double now)
{
    const Call call = m_calls.at(index);
    m_calls.erase(index);
    const auto outcome =
        isWhole ? routing::CallOutcome::Succeeded : routing::CallOutcome::Cancelled;
    m_selector->callEnded(m_ids[call.server], outcome, toTimePoint(now));
    m_selector->callWork().ended(call.number, outcome, toTimePoint(now));
}

void ModelSelectorPolicy::observeLoad(std::size_t server, const routing::ServerLoad &load,
                                      double now)
{
    m_selector->observeLoad(m_ids[server], load, toTimePoint(now));
}

} // namespace lavendertally::bench
