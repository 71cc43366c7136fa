#include "configurationcheck/types/rule.h"

#include <cstddef>
#include <iterator>

namespace lavendertally::configurationcheck {

namespace {

/// In the order of the enumerators.
constexpr std::string_view RuleNames[] = {
    "unreadable-file",
    "invalid-entry",
    "wrong-type",
    "out-of-range",
    "unknown-name",
    "duplicate-name",
    "unknown-service",
    "stage-order",
    "stage-without-pool",
    "duplicate-key",
    "prefix-hidden",
    "host-never-matches",
    "prefix-never-matches",
    "share-without-weight",
    "attempts-never-made",
    "batch-never-fills",
    "no-valid-key",
    "duplicate-member",
    "misspelt-member",
    "tolerated-value",
    "version-not-newer",
    "timeout-below-objective",
    "stages-exceed-objective",
    "cold-limit-too-low",
    "body-limit-above-budget",
    "idle-time-too-short",
    "connection-cap-too-low",
    "route-moved",
    "route-split",
    "route-loses-callers",
    "route-added",
    "route-changed",
    "service-changed",
    "key-removed",
    "key-moved",
    "key-added",
    "team-changed",
    "limit-tightened",
    "limit-loosened",
};

static_assert(std::size(RuleNames) == static_cast<std::size_t>(Rule::LimitLoosened) + 1);

} // namespace

std::string_view ruleName(Rule rule)
{
    return RuleNames[static_cast<std::size_t>(rule)];
}

RuleGroup groupOf(Rule rule)
{
    if (rule < Rule::PrefixHidden) {
        return RuleGroup::Errors;
    }
    if (rule < Rule::TimeoutBelowObjective) {
        return RuleGroup::NeverMatches;
    }
    return rule < Rule::RouteMoved ? RuleGroup::ContradictoryLimits : RuleGroup::Differences;
}

Severity severityOf(Rule rule)
{
    switch (groupOf(rule)) {
    case RuleGroup::Errors:
        return Severity::Error;
    case RuleGroup::NeverMatches:
    case RuleGroup::ContradictoryLimits:
        return Severity::Warning;
    case RuleGroup::Differences:
        break;
    }
    return Severity::Difference;
}

} // namespace lavendertally::configurationcheck
