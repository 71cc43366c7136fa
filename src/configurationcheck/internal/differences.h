#pragma once

namespace lavendertally::configurationcheck {

class FindingList;
struct ComparedConfiguration;

/// Routes that move, split, lose callers or change.
void compareRoutes(const ComparedConfiguration &before, const ComparedConfiguration &after,
                   FindingList &findings);

/// Limits on clients, and limits and pools of services.
void compareLimits(const ComparedConfiguration &before, const ComparedConfiguration &after,
                   FindingList &findings);

/// Teams and their keys.
void compareTeams(const ComparedConfiguration &before, const ComparedConfiguration &after,
                  FindingList &findings);

} // namespace lavendertally::configurationcheck
