#include "configurationcheck/internal/differences.h"
#include "configurationcheck/internal/findinglist.h"
#include "configurationcheck/internal/limitchange.h"
#include "configurationcheck/internal/routelookup.h"
#include "configurationcheck/types/comparedconfiguration.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace lavendertally::configurationcheck {

namespace {

using serving::Route;

using Weights = std::map<framework::ServiceId, std::uint64_t>;

Weights weightsOf(const Route &route)
{
    Weights weights;
    for (const serving::TrafficShare &share : route.split) {
        weights[share.service] += share.weight;
    }
    return weights;
}

std::uint64_t sumOf(const Weights &weights)
{
    std::uint64_t sum = 0;
    for (const auto &[service, weight] : weights) {
        sum += weight;
    }
    return sum;
}

bool haveSameServices(const Weights &a, const Weights &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const auto &x, const auto &y) { return x.first == y.first; });
}

/// \return whether both give each service the same share
bool areProportional(const Weights &a, const Weights &b)
{
    const std::uint64_t sumA = sumOf(a);
    const std::uint64_t sumB = sumOf(b);
    return haveSameServices(a, b)
        && std::equal(a.begin(), a.end(), b.begin(), [=](const auto &x, const auto &y) {
               return x.second * sumB == y.second * sumA;
           });
}

std::string splitText(const Route &route)
{
    const Weights weights = weightsOf(route);
    std::string text;
    for (const auto &[service, weight] : weights) {
        text += (text.empty() ? "" : ", ") + service.value();
        if (weights.size() > 1) {
            text += " (weight " + std::to_string(weight) + ")";
        }
    }
    return text.empty() ? "no service" : text;
}

std::string placeText(const Route &route)
{
    return route.hostName + route.prefix;
}

bool areEqual(const serving::StagePlan &a, const serving::StagePlan &b)
{
    return a.service == b.service && a.after == b.after && a.resultSize == b.resultSize;
}

/// \return what has changed of a route besides services, callers and limits; empty if nothing
std::string changedParts(const Route &before, const Route &after)
{
    std::string text;
    const auto add = [&text](bool changed, const char *name) {
        if (changed) {
            text += (text.empty() ? "" : ", ") + std::string(name);
        }
    };
    add(before.id != after.id, "name");
    add(before.kind != after.kind, "kind");
    add(before.latencyObjective != after.latencyObjective, "latency objective");
    add(before.maxEventGap != after.maxEventGap, "objective for gaps");
    add(before.priority != after.priority, "priority");
    add(!std::equal(before.stages.begin(), before.stages.end(), after.stages.begin(),
                    after.stages.end(), areEqual),
        "stages");
    add(before.promptAffinity != after.promptAffinity, "prompt affinity");
    add(before.resumable != after.resumable, "resumption of streams");
    return text;
}

/// Compares the routes of two versions by host and prefix.
class RouteComparison
{
public:
    RouteComparison(const ComparedConfiguration &before, const ComparedConfiguration &after,
                    FindingList &findings)
        : m_before(before.routes), m_after(after.routes), m_oldRoutes(m_before),
          m_newRoutes(m_after), m_findings(findings)
    { }

    void run()
    {
        for (std::size_t index = 0; index < m_before.size(); ++index) {
            const Route &route = m_before[index];
            if (m_oldRoutes.isReached(index)
                && !m_newRoutes.findExact(route.hostName, route.prefix)) {
                compareGone(route);
            }
        }
        for (std::size_t index = 0; index < m_after.size(); ++index) {
            if (m_newRoutes.isReached(index)) {
                compareNew(index);
            }
        }
    }

private:
    static EntryPath path(std::size_t index, EntryField field = EntryField::None)
    {
        return {EntrySection::Routes, index, field, {}, {}};
    }

    void compareGone(const Route &route)
    {
        const auto heir = m_newRoutes.find(route.hostName, route.prefix);
        if (!heir) {
            m_findings.add(Rule::RouteLosesCallers, {EntrySection::Routes, {}, {}, {}, {}},
                           "requests for " + placeText(route) + " find no route; route "
                               + route.id.value() + " is gone",
                           Effect::Drains);
            return;
        }
        m_findings.add(Rule::RouteMoved, path(*heir),
                       "gets the requests for " + placeText(route) + " of route " + route.id.value()
                           + ", which is gone: " + movement(route, m_after[*heir]),
                       Effect::Drains);
    }

    void compareNew(std::size_t index)
    {
        const Route &route = m_after[index];
        if (const auto same = m_oldRoutes.findExact(route.hostName, route.prefix)) {
            compareSame(m_before[*same], index);
            return;
        }
        const auto source = m_oldRoutes.find(route.hostName, route.prefix);
        if (!source) {
            m_findings.add(Rule::RouteAdded, path(index),
                           "requests for " + placeText(route) + " had no route before",
                           Effect::AtOnce);
            return;
        }
        const Route &old = m_before[*source];
        m_findings.add(Rule::RouteSplit, path(index),
                       "takes the requests for " + placeText(route) + " from route "
                           + old.id.value() + ": " + movement(old, route),
                       Effect::Drains);
    }

    static std::string movement(const Route &before, const Route &after)
    {
        return "to " + splitText(after) + " instead of " + splitText(before);
    }

    void compareSame(const Route &before, std::size_t index)
    {
        const Route &after = m_after[index];
        compareServices(before, index);
        if (before.isPublic != after.isPublic) {
            m_findings.add(after.isPublic ? Rule::RouteChanged : Rule::RouteLosesCallers,
                           path(index, EntryField::IsPublic),
                           after.isPublic ? "accepts requests without an API key"
                                          : "refuses requests without an API key",
                           Effect::AtOnce);
        }
        compareLimit(before.timeout.value(), after.timeout.value(), "the timeout in ms",
                     path(index, EntryField::Timeout), Effect::Drains, m_findings);
        compareLimit(before.maxAttempts, after.maxAttempts, "the number of attempts",
                     path(index, EntryField::MaxAttempts), Effect::Drains, m_findings);
        const std::string changes = changedParts(before, after);
        if (!changes.empty()) {
            m_findings.add(Rule::RouteChanged, path(index),
                           "changed for " + placeText(after) + ": " + changes, Effect::Drains);
        }
    }

    void compareServices(const Route &before, std::size_t index)
    {
        const Weights old = weightsOf(before);
        const Weights now = weightsOf(m_after[index]);
        if (areProportional(old, now)) {
            return;
        }
        const bool isSplit = now.size() > 1;
        m_findings.add(
            isSplit ? Rule::RouteSplit : Rule::RouteMoved, path(index, EntryField::Split),
            "requests for " + placeText(before) + " go " + movement(before, m_after[index]),
            Effect::Drains);
    }

    const std::vector<Route> &m_before;
    const std::vector<Route> &m_after;
    RouteLookup m_oldRoutes;
    RouteLookup m_newRoutes;
    FindingList &m_findings;
};

} // namespace

void compareRoutes(const ComparedConfiguration &before, const ComparedConfiguration &after,
                   FindingList &findings)
{
    RouteComparison(before, after, findings).run();
}

} // namespace lavendertally::configurationcheck
