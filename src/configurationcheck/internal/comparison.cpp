#include "configurationcheck/configurationcheck.h"

#include "configurationcheck/internal/differences.h"
#include "configurationcheck/internal/findinglist.h"
#include "configurationcheck/types/comparedconfiguration.h"
#include "configurationcheck/types/configurationdraft.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lavendertally::configurationcheck {

ComparedConfiguration compared(const ConfigurationDraft &draft)
{
    ComparedConfiguration result{draft.version, draft.routes, draft.services, draft.limits,
                                 std::nullopt};
    if (!draft.teams) {
        return result;
    }
    result.teams.emplace();
    for (const serving::TeamEntry &team : *draft.teams) {
        ComparedTeam entry{team.id, team.priority, {}};
        std::transform(team.keys.begin(), team.keys.end(), std::back_inserter(entry.keys), keyHash);
        result.teams->push_back(std::move(entry));
    }
    return result;
}

std::vector<Finding> findDifferences(const ComparedConfiguration &before,
                                     const ComparedConfiguration &after, const IEntryNames &names)
{
    FindingList findings(names);
    if (after.version <= before.version) {
        findings.add(Rule::VersionNotNewer, {EntrySection::Version, {}, {}, {}, {}},
                     "gateways ignore it: version " + std::to_string(before.version.value())
                         + " is in force");
    }
    compareRoutes(before, after, findings);
    compareLimits(before, after, findings);
    compareTeams(before, after, findings);
    return findings.take();
}

} // namespace lavendertally::configurationcheck
