#pragma once

#include "routing/internal/iserverchoice.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::routing {

class ServiceWork;
class WorkTracker;

/// Chooses by the time in which the request is expected to be answered, and by the time that it
/// costs others. Only a few candidates are weighed: those that probably keep the prompt, and some
/// drawn at random, so that daemons that have read the same reports do not all choose the same one
/// (Mitzenmacher, "How useful is old information?", 2000).
class WorkChoice final : public IServerChoice
{
public:
    WorkChoice(WorkTracker &work, framework::IRandom &random);

    const Candidate &choose(const Candidates &candidates, const ServerQuery &query,
                            framework::TimePoint now) override;

private:
    /// A candidate that may be weighed. All costs in milliseconds.
    struct Option
    {
        const Candidate *candidate = nullptr;
        std::uint64_t hash = 0;
        std::uint64_t score = 0;
        bool isLocal = false;
        bool isMarked = false;
        bool isWeighed = false;
        /// Probability that it keeps the shared parts of the prompt as one of their homes.
        double home = 0.0;
        double keptTokens = 0.0;
        double waitMs = 0.0;
        double cost = 0.0;
        double zoneCost = 0.0;
        double costWithoutCache = 0.0;
    };

    void listOptions(const Candidates &candidates, const ServerQuery &query);
    void partitionByZone();
    void markHomes(const ServerQuery &query, const ServiceWork &service, framework::TimePoint now);
    /// Marks \p count options of [\p first, \p last), drawn at random, to be weighed.
    void draw(std::size_t first, std::size_t last, std::size_t count);
    void weighMarked(const ServerQuery &query, double writeTokens, framework::TimePoint now);
    bool areHomesBusy(const ServiceWork &service) const;
    void weigh(Option &option, const ServerQuery &query, double writeTokens,
               framework::TimePoint now);
    const Option &best(double Option::*without) const;

    WorkTracker &m_work;
    framework::IRandom &m_random;
    /// Kept between calls, so that a choice allocates nothing. Local options come first.
    std::vector<Option> m_options;
    std::size_t m_localOptions = 0;
};

} // namespace lavendertally::routing
