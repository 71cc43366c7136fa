#include "configurationcheck/types/rule.h"

namespace lavendertally::configurationcheck {

std::string_view ruleName(Rule rule)
{
    switch (rule) {
    case Rule::UnreadableFile:
        return "unreadable-file";
    case Rule::InvalidEntry:
        return "invalid-entry";
    case Rule::WrongType:
        return "wrong-type";
    case Rule::OutOfRange:
        return "out-of-range";
    case Rule::UnknownName:
        return "unknown-name";
    case Rule::DuplicateName:
        return "duplicate-name";
    case Rule::UnknownService:
        return "unknown-service";
    case Rule::StageOrder:
        return "stage-order";
    case Rule::StageWithoutPool:
        return "stage-without-pool";
    case Rule::DuplicateKey:
        return "duplicate-key";
    case Rule::PrefixHidden:
        return "prefix-hidden";
    case Rule::HostNeverMatches:
        return "host-never-matches";
    case Rule::PrefixNeverMatches:
        return "prefix-never-matches";
    case Rule::ShareWithoutWeight:
        return "share-without-weight";
    case Rule::AttemptsNeverMade:
        return "attempts-never-made";
    case Rule::BatchNeverFills:
        return "batch-never-fills";
    case Rule::NoValidKey:
        return "no-valid-key";
    case Rule::DuplicateMember:
        return "duplicate-member";
    case Rule::MisspeltMember:
        return "misspelt-member";
    case Rule::ToleratedValue:
        return "tolerated-value";
    case Rule::VersionNotNewer:
        return "version-not-newer";
    case Rule::TimeoutBelowObjective:
        return "timeout-below-objective";
    case Rule::StagesExceedObjective:
        return "stages-exceed-objective";
    case Rule::ColdLimitTooLow:
        return "cold-limit-too-low";
    case Rule::BodyLimitAboveBudget:
        return "body-limit-above-budget";
    case Rule::IdleTimeTooShort:
        return "idle-time-too-short";
    case Rule::ConnectionCapTooLow:
        return "connection-cap-too-low";
    case Rule::RouteMoved:
        return "route-moved";
    case Rule::RouteSplit:
        return "route-split";
    case Rule::RouteLosesCallers:
        return "route-loses-callers";
    case Rule::RouteAdded:
        return "route-added";
    case Rule::RouteChanged:
        return "route-changed";
    case Rule::ServiceChanged:
        return "service-changed";
    case Rule::KeyRemoved:
        return "key-removed";
    case Rule::KeyMoved:
        return "key-moved";
    case Rule::KeyAdded:
        return "key-added";
    case Rule::TeamChanged:
        return "team-changed";
    case Rule::LimitTightened:
        return "limit-tightened";
    case Rule::LimitLoosened:
        break;
    }
    return "limit-loosened";
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
