#include "configurationcheck/internal/findinglist.h"
#include "configurationcheck/internal/iconfigurationrule.h"
#include "configurationcheck/internal/rules.h"
#include "configurationcheck/internal/serviceindex.h"
#include "configurationcheck/types/checkcontext.h"
#include "framework/dependencyorder.h"

#include <algorithm>
#include <unordered_map>

namespace lavendertally::configurationcheck {

namespace {

constexpr double MillisecondsPerSecond = 1000.0;
/// Clients reuse connections that were idle for up to four fifths of the idle time, so a fifth of
/// it is left for the request to arrive.
constexpr std::int64_t ReuseMarginDivisor = 5;
/// A request from a distant client takes this long to arrive.
constexpr framework::Milliseconds NetworkDelay{100};

class ObjectiveRule final : public IConfigurationRule
{
public:
    void check(const ConfigurationDraft &draft, const CheckContext & /*context*/,
               FindingList &findings) const override
    {
        for (std::size_t index = 0; index < draft.routes.size(); ++index) {
            const serving::Route &route = draft.routes[index];
            if (route.timeout < route.latencyObjective) {
                findings.add(Rule::TimeoutBelowObjective,
                             {EntrySection::Routes, index, EntryField::Timeout, {}, {}},
                             "requests end after " + std::to_string(route.timeout.value())
                                 + " ms, before the objective of "
                                 + std::to_string(route.latencyObjective.value()) + " ms");
            }
        }
    }
};

class StageTimeRule final : public IConfigurationRule
{
public:
    void check(const ConfigurationDraft &draft, const CheckContext & /*context*/,
               FindingList &findings) const override
    {
        const ServiceIndex services(draft);
        for (std::size_t index = 0; index < draft.routes.size(); ++index) {
            const serving::Route &route = draft.routes[index];
            const framework::Milliseconds shortest = shortestTime(route, services);
            if (!route.stages.empty() && shortest >= route.latencyObjective) {
                findings.add(Rule::StagesExceedObjective,
                             {EntrySection::Routes, index, EntryField::Stages, {}, {}},
                             "one piece takes at least " + std::to_string(shortest.value())
                                 + " ms through all stages, the objective is "
                                 + std::to_string(route.latencyObjective.value()) + " ms");
            }
        }
    }

private:
    /// \return time of the longest chain of stages with one piece in each call
    static framework::Milliseconds shortestTime(const serving::Route &route,
                                                const ServiceIndex &services)
    {
        std::vector<framework::Milliseconds> ends(route.stages.size());
        framework::Milliseconds longest;
        for (const std::size_t stage :
             framework::dependencyOrder(serving::predecessors(route.stages))) {
            const serving::StagePlan &plan = route.stages[stage];
            framework::Milliseconds end;
            for (const std::size_t before : plan.after) {
                // One that does not exist is reported as an error.
                end = before < ends.size() ? std::max(end, ends[before]) : end;
            }
            const serving::ServiceSpec *service = services.find(plan.service);
            if (service != nullptr && service->stagePool) {
                end += service->stagePool->batchTime(1);
            }
            ends[stage] = end;
            longest = std::max(longest, end);
        }
        return longest;
    }
};

/// Limits of services that all gateways share.
class SharedLimitRule final : public IConfigurationRule
{
public:
    void check(const ConfigurationDraft &draft, const CheckContext &context,
               FindingList &findings) const override
    {
        const auto timeouts = longestTimeouts(draft);
        for (std::size_t index = 0; index < draft.services.size(); ++index) {
            const serving::ServiceSpec &service = draft.services[index];
            if (service.maxConnections > 0 && service.maxConnections < context.gateways) {
                findings.add(Rule::ConnectionCapTooLow,
                             {EntrySection::Services, index, EntryField::MaxConnections, {}, {}},
                             std::to_string(context.gateways) + " gateways keep a connection each, "
                                 + "a server accepts " + std::to_string(service.maxConnections));
            }
            const auto timeout = timeouts.find(service.id);
            // A timeout that is zero or could not be read is reported at its route.
            const bool hasTimeout =
                timeout != timeouts.end() && timeout->second > framework::Milliseconds(0);
            if (service.coldRequestsPerSecond > 0 && hasTimeout) {
                checkCold(service, index, timeout->second, context, findings);
            }
        }
    }

private:
    /// A share that yields no request within the longest time that a request may take is of no use.
    static void checkCold(const serving::ServiceSpec &service, std::size_t index,
                          framework::Milliseconds timeout, const CheckContext &context,
                          FindingList &findings)
    {
        const std::int64_t gateways = context.gateways;
        // The product may exceed 64 bits.
        const double requests = static_cast<double>(service.coldRequestsPerSecond)
            * static_cast<double>(timeout.value()) / MillisecondsPerSecond;
        if (requests < static_cast<double>(gateways)) {
            findings.add(Rule::ColdLimitTooLow,
                         {EntrySection::Services, index, EntryField::ColdLimit, {}, {}},
                         "the share of each of " + std::to_string(gateways)
                             + " gateways allows no request within the longest timeout, "
                             + std::to_string(timeout.value()) + " ms");
        }
    }

    static std::unordered_map<framework::ServiceId, framework::Milliseconds>
    longestTimeouts(const ConfigurationDraft &draft)
    {
        std::unordered_map<framework::ServiceId, framework::Milliseconds> longest;
        for (const serving::Route &route : draft.routes) {
            for (const serving::TrafficShare &share : route.split) {
                framework::Milliseconds &known = longest[share.service];
                known = std::max(known, route.timeout);
            }
        }
        return longest;
    }
};

class ClientLimitRule final : public IConfigurationRule
{
public:
    void check(const ConfigurationDraft &draft, const CheckContext &context,
               FindingList &findings) const override
    {
        const serving::RequestLimits &limits = draft.limits;
        if (limits.maxBody > context.heldBodies) {
            findings.add(Rule::BodyLimitAboveBudget,
                         {EntrySection::Limits, {}, EntryField::MaxBody, {}, {}},
                         "a gateway holds bodies of " + std::to_string(context.heldBodies.value())
                             + " bytes in all, so a larger one is never accepted");
        }
        if (limits.idleTimeout < NetworkDelay * ReuseMarginDivisor) {
            findings.add(Rule::IdleTimeTooShort,
                         {EntrySection::Limits, {}, EntryField::IdleTimeout, {}, {}},
                         "a fifth of it is left for a request on a reused connection to arrive, "
                         "which takes up to "
                             + std::to_string(NetworkDelay.value()) + " ms");
        }
        if (limits.headerTimeout < NetworkDelay) {
            findings.add(Rule::IdleTimeTooShort,
                         {EntrySection::Limits, {}, EntryField::HeaderTimeout, {}, {}},
                         "a request takes up to " + std::to_string(NetworkDelay.value())
                             + " ms to arrive");
        }
    }
};

} // namespace

ConfigurationRules makeLimitRules()
{
    ConfigurationRules rules;
    rules.push_back(std::make_unique<ObjectiveRule>());
    rules.push_back(std::make_unique<StageTimeRule>());
    rules.push_back(std::make_unique<SharedLimitRule>());
    rules.push_back(std::make_unique<ClientLimitRule>());
    return rules;
}

} // namespace lavendertally::configurationcheck
