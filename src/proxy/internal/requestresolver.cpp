#include "proxy/internal/requestresolver.h"

#include "framework/irandom.h"
#include "proxy/types/clientrequest.h"
#include "serving/iservingstate.h"
#include "serving/types/servingconfiguration.h"

namespace lavendertally::proxy {

framework::PriorityRank RequestPlan::priority() const
{
    return team != nullptr ? team->priority.value_or(route->priority) : route->priority;
}

framework::TeamId RequestPlan::teamId() const
{
    return team != nullptr ? team->id : framework::TeamId();
}

const char *RequestPlan::kindName() const
{
    if (route == nullptr) {
        return "none";
    }
    switch (route->kind) {
    case serving::RouteKind::Idempotent:
        return "idempotent";
    case serving::RouteKind::NonIdempotent:
        return "non_idempotent";
    case serving::RouteKind::Streaming:
        break;
    }
    return "streaming";
}

RequestResolver::RequestResolver(const ProxyContext &context) : m_context(context) { }

std::optional<Refusal> RequestResolver::resolve(const ClientRequest &request,
                                                framework::TimePoint now, RequestPlan &plan) const
{
    plan.configuration = m_context.serving.configuration();
    if (!plan.configuration) {
        return Refusal{RefusalKind::NotRun, m_context.limits.retryAfter, "no configuration yet"};
    }
    plan.route = plan.configuration->findRoute(request.hostName, request.path);
    if (plan.route == nullptr) {
        return Refusal{RefusalKind::NoRoute, {}, "no route"};
    }
    plan.service = chooseService(*plan.route);
    return authenticate(request, now, plan);
}

std::optional<Refusal> RequestResolver::authenticate(const ClientRequest &request,
                                                     framework::TimePoint now,
                                                     RequestPlan &plan) const
{
    if (!plan.configuration->requiresKeys() || plan.route->isPublic) {
        return std::nullopt;
    }
    plan.team = plan.configuration->findTeam(request.key);
    if (plan.team == nullptr) {
        return Refusal{RefusalKind::UnknownKey, {}, "unknown key"};
    }
    // A key that was revoked before the last confirmation is no longer in this configuration. If
    // that confirmation is too old, the key may have been revoked since without this daemon
    // knowing, so no key is accepted.
    const framework::Milliseconds age = now - m_context.serving.confirmedAt();
    if (age > m_context.limits.maxConfigurationAge) {
        return Refusal{RefusalKind::NotRun, m_context.limits.retryAfter,
                       "configuration not confirmed"};
    }
    return std::nullopt;
}

framework::ServiceId RequestResolver::chooseService(const serving::Route &route) const
{
    std::uint64_t totalWeight = 0;
    for (const serving::TrafficShare &share : route.split) {
        totalWeight += share.weight;
    }
    std::uint64_t drawn = route.split.size() > 1 ? m_context.random.below(totalWeight) : 0;
    for (const serving::TrafficShare &share : route.split) {
        if (drawn < share.weight) {
            return share.service;
        }
        drawn -= share.weight;
    }
    return route.split.back().service;
}

} // namespace lavendertally::proxy
