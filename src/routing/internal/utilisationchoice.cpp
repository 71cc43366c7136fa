#include "routing/internal/utilisationchoice.h"

#include "framework/irandom.h"
#include "routing/internal/rendezvous.h"
#include "routing/internal/serverstate.h"
#include "routing/internal/worktracker.h"
#include "routing/types/serverquery.h"

#include <algorithm>
#include <cstdint>

namespace lavendertally::routing {

namespace {

/// Added to the utilisation of backend servers in other zones.
constexpr double ZonePenalty = 0.2;
/// Multiplied by the failure rate and added to the utilisation.
constexpr double FailurePenalty = 4.0;
/// Failure rate above which affinity is not followed. It is below that of a backend server with a
/// gray failure, which fails about a third of its calls.
constexpr double MaxAffinityFailureRate = 0.15;
/// Highest utilisation, as a multiple of the average, up to which affinity is followed.
constexpr double AffinityLoadBound = 1.5;
/// Utilisation up to which affinity is followed even above that bound.
constexpr double AffinityUnboundedUtilisation = 0.5;
/// Number of distinct random values that break ties between candidates.
constexpr std::uint64_t TieBreakSteps = 1024;
/// Upper bound of the random value that breaks ties: less than the utilisation that one call adds
/// on a backend server with fewer than 100 slots.
constexpr double MaxTieBreak = 0.01;

} // namespace

UtilisationChoice::UtilisationChoice(WorkTracker &work, framework::IRandom &random)
    : m_work(work), m_random(random)
{ }

const Candidate &UtilisationChoice::choose(const Candidates &candidates, const ServerQuery &query,
                                           framework::TimePoint now)
{
    const Candidate *preferred = query.prefixHash != 0 ? byAffinity(candidates, query) : nullptr;
    return preferred != nullptr ? *preferred : lowestCost(candidates, query, now);
}

const Candidate &UtilisationChoice::lowestCost(const Candidates &candidates,
                                               const ServerQuery &query, framework::TimePoint now)
{
    const Candidate *best = nullptr;
    double bestCost = 0.0;
    for (const Candidate &candidate : candidates) {
        const double tieBreak = MaxTieBreak * static_cast<double>(m_random.below(TieBreakSteps))
            / static_cast<double>(TieBreakSteps);
        const double zonePenalty = candidate.entry->zone == query.zone ? 0.0 : ZonePenalty;
        const double callTime = query.work.isInTokens()
            ? 1.0
            : m_work.server(candidate.entry->id).speed().callTime(now);
        // What a slow server takes longer counts also while it is idle: for the call itself.
        const double slowness =
            (callTime - 1.0) / std::max<std::uint32_t>(candidate.entry->slots, 1);
        const double cost = candidate.utilisation * callTime + slowness + zonePenalty
            + FailurePenalty * candidate.state->failureRate() + tieBreak;
        if (best == nullptr || cost < bestCost) {
            best = &candidate;
            bestCost = cost;
        }
    }
    return *best;
}

/// Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016).
const Candidate *UtilisationChoice::byAffinity(const Candidates &candidates,
                                               const ServerQuery &query)
{
    double sum = 0.0;
    for (const Candidate &candidate : candidates) {
        sum += candidate.utilisation;
    }
    const double average = sum / static_cast<double>(candidates.size());
    const double bound = std::max(AffinityUnboundedUtilisation, average * AffinityLoadBound);
    const Candidate *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const Candidate &candidate : candidates) {
        const bool fits = candidate.utilisation <= bound
            && candidate.state->failureRate() <= MaxAffinityFailureRate;
        const std::uint64_t score =
            rendezvousScore(query.prefixHash, hashName(candidate.entry->id.value()));
        if (fits && (best == nullptr || score > bestScore)) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best;
}

} // namespace lavendertally::routing
