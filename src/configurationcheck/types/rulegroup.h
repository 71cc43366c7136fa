#pragma once

namespace lavendertally::configurationcheck {

/// Groups in which the rules are documented and reported.
enum class RuleGroup
{
    Errors,
    NeverMatches,
    ContradictoryLimits,
    Differences,
};

} // namespace lavendertally::configurationcheck
