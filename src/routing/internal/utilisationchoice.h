#pragma once

#include "routing/internal/iserverchoice.h"

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::routing {

class WorkTracker;

/// Chooses by the number of calls at a backend server in relation to its slots, by recent failures
/// and by availability zone. Prompts with a shared prefix go to the same backend server while its
/// utilisation stays within a bound above the average.
class UtilisationChoice final : public IServerChoice
{
public:
    UtilisationChoice(WorkTracker &work, framework::IRandom &random);

    const Candidate &choose(const Candidates &candidates, const ServerQuery &query,
                            framework::TimePoint now) override;
    /// \return the candidate with the lowest cost, whatever the query's prompt
    const Candidate &lowestCost(const Candidates &candidates, const ServerQuery &query,
                                framework::TimePoint now);

private:
    static const Candidate *byAffinity(const Candidates &candidates, const ServerQuery &query);

    WorkTracker &m_work;
    framework::IRandom &m_random;
};

} // namespace lavendertally::routing
