#include "configurationcheck/internal/differences.h"
#include "configurationcheck/internal/findinglist.h"
#include "configurationcheck/types/comparedconfiguration.h"

#include <string>
#include <unordered_map>

namespace lavendertally::configurationcheck {

namespace {

using Owners = std::unordered_map<KeyHash, std::size_t>;
using Positions = std::unordered_map<framework::TeamId, std::size_t>;

/// \return position of the team that owns each key; of two owners the first, as in the daemon
Owners ownersIn(const std::vector<ComparedTeam> &teams)
{
    Owners owners;
    for (std::size_t index = 0; index < teams.size(); ++index) {
        for (const KeyHash &key : teams[index].keys) {
            owners.emplace(key, index);
        }
    }
    return owners;
}

Positions positionsIn(const std::vector<ComparedTeam> &teams)
{
    Positions positions;
    for (std::size_t index = 0; index < teams.size(); ++index) {
        positions.emplace(teams[index].id, index);
    }
    return positions;
}

std::string priorityText(const std::optional<framework::PriorityRank> &priority)
{
    return priority ? "priority " + std::to_string(priority->value()) : "the priority of the route";
}

/// Compares teams by name and keys by their hashes.
class TeamComparison
{
public:
    TeamComparison(const std::vector<ComparedTeam> &before, const std::vector<ComparedTeam> &after,
                   FindingList &findings)
        : m_before(before), m_after(after), m_oldOwners(ownersIn(before)),
          m_newOwners(ownersIn(after)), m_newPositions(positionsIn(after)), m_findings(findings)
    { }

    void run()
    {
        for (std::size_t index = 0; index < m_before.size(); ++index) {
            comparePriority(m_before[index]);
            for (const KeyHash &key : m_before[index].keys) {
                compareKey(key, index);
            }
        }
        for (std::size_t team = 0; team < m_after.size(); ++team) {
            for (std::size_t key = 0; key < m_after[team].keys.size(); ++key) {
                compareNewKey(team, key);
            }
        }
    }

private:
    void comparePriority(const ComparedTeam &before)
    {
        const auto position = m_newPositions.find(before.id);
        if (position == m_newPositions.end()
            || m_after[position->second].priority == before.priority) {
            return;
        }
        m_findings.add(Rule::TeamChanged,
                       {EntrySection::Teams, position->second, EntryField::Priority, {}, {}},
                       "team " + before.id.value() + " has "
                           + priorityText(m_after[position->second].priority) + " instead of "
                           + priorityText(before.priority),
                       Effect::AtOnce);
    }

    void compareKey(const KeyHash &key, std::size_t team)
    {
        if (m_oldOwners.at(key) != team) {
            return;
        }
        const ComparedTeam &old = m_before[team];
        const auto owner = m_newOwners.find(key);
        if (owner == m_newOwners.end()) {
            const auto position = m_newPositions.find(old.id);
            EntryPath path{EntrySection::Teams, {}, {}, {}, {}};
            if (position != m_newPositions.end()) {
                path = {EntrySection::Teams, position->second, EntryField::Keys, {}, {}};
            }
            m_findings.add(Rule::KeyRemoved, path,
                           "key " + shortHash(key) + " of team " + old.id.value()
                               + " is not accepted any more",
                           Effect::AtOnce);
        } else if (m_after[owner->second].id != old.id) {
            m_findings.add(
                Rule::KeyMoved, {EntrySection::Teams, owner->second, EntryField::Keys, {}, {}},
                "key " + shortHash(key) + " stands for team " + m_after[owner->second].id.value()
                    + " instead of " + old.id.value(),
                Effect::AtOnce);
        }
    }

    void compareNewKey(std::size_t team, std::size_t position)
    {
        const KeyHash &key = m_after[team].keys[position];
        if (!m_oldOwners.contains(key)) {
            m_findings.add(
                Rule::KeyAdded, {EntrySection::Teams, team, EntryField::Keys, position, {}},
                "key " + shortHash(key) + " of team " + m_after[team].id.value() + " is accepted",
                Effect::AtOnce);
        }
    }

    const std::vector<ComparedTeam> &m_before;
    const std::vector<ComparedTeam> &m_after;
    Owners m_oldOwners;
    Owners m_newOwners;
    Positions m_newPositions;
    FindingList &m_findings;
};

/// Without a list of teams, requests need no key; with an empty one, no key is valid.
void compareNeed(bool before, bool after, FindingList &findings)
{
    if (before != after) {
        findings.add(after ? Rule::RouteLosesCallers : Rule::TeamChanged,
                     {EntrySection::Teams, {}, {}, {}, {}},
                     after ? "requests need an API key now, but for public routes"
                           : "there is no list of teams left, so requests need no API key",
                     Effect::AtOnce);
    }
}

} // namespace

void compareTeams(const ComparedConfiguration &before, const ComparedConfiguration &after,
                  FindingList &findings)
{
    compareNeed(before.teams.has_value(), after.teams.has_value(), findings);
    const std::vector<ComparedTeam> none;
    TeamComparison(before.teams ? *before.teams : none, after.teams ? *after.teams : none, findings)
        .run();
}

} // namespace lavendertally::configurationcheck
