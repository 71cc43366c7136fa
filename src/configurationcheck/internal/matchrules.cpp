#include "configurationcheck/internal/findinglist.h"
#include "configurationcheck/internal/iconfigurationrule.h"
#include "configurationcheck/internal/rules.h"
#include "configurationcheck/internal/serviceindex.h"
#include "configurationcheck/types/checkcontext.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace lavendertally::configurationcheck {

namespace {

/// Of two routes with one host and one prefix the first gets all requests.
class PrefixHiddenRule final : public IConfigurationRule
{
public:
    void check(const ConfigurationDraft &draft, const CheckContext & /*context*/,
               FindingList &findings) const override
    {
        using HostAndPrefix = std::pair<std::string_view, std::string_view>;
        std::map<HostAndPrefix, std::size_t> first;
        for (std::size_t index = 0; index < draft.routes.size(); ++index) {
            const serving::Route &route = draft.routes[index];
            const auto [known, isNew] =
                first.emplace(HostAndPrefix(route.hostName, route.prefix), index);
            if (!isNew) {
                findings.add(Rule::PrefixHidden,
                             {EntrySection::Routes, index, EntryField::Prefix, {}, {}},
                             "route " + draft.routes[known->second].id.value()
                                 + " gets all requests for " + route.hostName + route.prefix);
            }
        }
    }
};

/// The host name of a request is compared without its port, the path without the query.
class UnmatchableRule final : public IConfigurationRule
{
public:
    void check(const ConfigurationDraft &draft, const CheckContext & /*context*/,
               FindingList &findings) const override
    {
        for (std::size_t index = 0; index < draft.routes.size(); ++index) {
            const serving::Route &route = draft.routes[index];
            if (route.hostName.empty() || has(route.hostName, ":/?# \t")) {
                findings.add(Rule::HostNeverMatches,
                             {EntrySection::Routes, index, EntryField::HostName, {}, {}},
                             "no request names the host '" + route.hostName
                                 + "'; a host name has no port and no path");
            }
            if (!route.prefix.starts_with('/') || has(route.prefix, "?# \t")) {
                findings.add(Rule::PrefixNeverMatches,
                             {EntrySection::Routes, index, EntryField::Prefix, {}, {}},
                             "no path begins with '" + route.prefix
                                 + "'; a prefix begins with a slash and has no query");
            }
        }
    }

private:
    static bool has(std::string_view text, std::string_view characters)
    {
        return text.find_first_of(characters) != std::string_view::npos;
    }
};

class AttemptsRule final : public IConfigurationRule
{
public:
    void check(const ConfigurationDraft &draft, const CheckContext &context,
               FindingList &findings) const override
    {
        for (std::size_t index = 0; index < draft.routes.size(); ++index) {
            const serving::Route &route = draft.routes[index];
            const std::string reason = reasonFor(route, context);
            if (!reason.empty()) {
                findings.add(Rule::AttemptsNeverMade,
                             {EntrySection::Routes, index, EntryField::MaxAttempts, {}, {}},
                             reason);
            }
        }
    }

private:
    static std::string reasonFor(const serving::Route &route, const CheckContext &context)
    {
        if (route.maxAttempts > context.maxAttempts) {
            return "gateways make at most " + std::to_string(context.maxAttempts)
                + " attempts for a request";
        }
        const framework::Milliseconds lastStart =
            context.minBackoff * (std::max<std::int64_t>(route.maxAttempts, 1) - 1);
        if (lastStart >= route.timeout) {
            return "attempt " + std::to_string(std::max<std::uint32_t>(route.maxAttempts, 1))
                + " begins after " + std::to_string(lastStart.value())
                + " ms at the earliest, when the timeout of "
                + std::to_string(route.timeout.value()) + " ms has passed";
        }
        return {};
    }
};

/// A server's queue of calls cannot be filled by batches whose results do not fit in its memory.
class BatchRule final : public IConfigurationRule
{
public:
    void check(const ConfigurationDraft &draft, const CheckContext & /*context*/,
               FindingList &findings) const override
    {
        const auto largest = largestResults(draft);
        for (std::size_t index = 0; index < draft.services.size(); ++index) {
            const serving::ServiceSpec &service = draft.services[index];
            const auto result = largest.find(service.id);
            if (!service.stagePool || result == largest.end()) {
                continue;
            }
            const std::int64_t results = service.stagePool->resultCapacity.value()
                / std::max<std::int64_t>(result->second.value(), 1);
            if (results < service.stagePool->batchSize) {
                findings.add(
                    Rule::BatchNeverFills,
                    {EntrySection::Services, index, EntryField::Pool, {}, EntryField::BatchSize},
                    "a server's memory holds " + std::to_string(results) + " results of "
                        + std::to_string(result->second.value()) + " bytes, fewer than the "
                        + std::to_string(service.stagePool->batchSize) + " pieces of a batch");
            }
        }
    }

private:
    static std::map<framework::ServiceId, framework::Bytes>
    largestResults(const ConfigurationDraft &draft)
    {
        std::map<framework::ServiceId, framework::Bytes> largest;
        for (const serving::Route &route : draft.routes) {
            for (const serving::StagePlan &plan : route.stages) {
                framework::Bytes &known = largest[plan.service];
                known = std::max(known, plan.resultSize);
            }
        }
        return largest;
    }
};

/// A list of teams without keys closes all routes but the public ones.
class NoValidKeyRule final : public IConfigurationRule
{
public:
    void check(const ConfigurationDraft &draft, const CheckContext & /*context*/,
               FindingList &findings) const override
    {
        const auto hasKey = [](const serving::TeamEntry &team) { return !team.keys.empty(); };
        if (draft.teams && std::none_of(draft.teams->begin(), draft.teams->end(), hasKey)) {
            findings.add(Rule::NoValidKey, {EntrySection::Teams, {}, {}, {}, {}},
                         "no team has a key, so requests run on public routes only");
        }
    }
};

} // namespace

ConfigurationRules makeMatchRules()
{
    ConfigurationRules rules;
    rules.push_back(std::make_unique<PrefixHiddenRule>());
    rules.push_back(std::make_unique<UnmatchableRule>());
    rules.push_back(std::make_unique<AttemptsRule>());
    rules.push_back(std::make_unique<BatchRule>());
    rules.push_back(std::make_unique<NoValidKeyRule>());
    return rules;
}

} // namespace lavendertally::configurationcheck
