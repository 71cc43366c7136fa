#pragma once

#include "configurationcheck/types/rulegroup.h"
#include "configurationcheck/types/severity.h"

#include <string_view>

namespace lavendertally::configurationcheck {

/// One rule that a configuration can break, or one kind of difference between two versions.
enum class Rule
{
    // Errors.
    UnreadableFile,
    /// Entry of the product's own YAML files that their parser refuses.
    InvalidEntry,
    WrongType,
    OutOfRange,
    UnknownName,
    DuplicateName,
    UnknownService,
    StageOrder,
    StageWithoutPool,
    DuplicateKey,
    // Entries that can never match.
    PrefixHidden,
    HostNeverMatches,
    PrefixNeverMatches,
    ShareWithoutWeight,
    AttemptsNeverMade,
    BatchNeverFills,
    NoValidKey,
    DuplicateMember,
    MisspeltMember,
    /// Value without a sound meaning that gateways have always taken or left out.
    ToleratedValue,
    VersionNotNewer,
    // Contradictory limits.
    TimeoutBelowObjective,
    StagesExceedObjective,
    ColdLimitTooLow,
    BodyLimitAboveBudget,
    IdleTimeTooShort,
    ConnectionCapTooLow,
    // Differences.
    RouteMoved,
    RouteSplit,
    RouteLosesCallers,
    RouteAdded,
    RouteChanged,
    ServiceChanged,
    KeyRemoved,
    KeyMoved,
    KeyAdded,
    TeamChanged,
    LimitTightened,
    LimitLoosened,
};

/// \return the name of \p rule in reports, such as `unknown-service`
std::string_view ruleName(Rule rule);

RuleGroup groupOf(Rule rule);
Severity severityOf(Rule rule);

} // namespace lavendertally::configurationcheck
