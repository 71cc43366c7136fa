#include "routing/internal/workchoice.h"

#include "framework/irandom.h"
#include "routing/internal/completionestimate.h"
#include "routing/internal/keptprompt.h"
#include "routing/internal/rendezvous.h"
#include "routing/internal/serverstate.h"
#include "routing/internal/worktracker.h"
#include "routing/types/serverquery.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavendertally::routing {

namespace {

/// Options drawn at random from the same zone and from the others, and homes drawn from those in
/// the zone.
constexpr std::size_t LocalDraws = 8;
constexpr std::size_t RemoteDraws = 4;
/// Wait at the least busy home from which other servers are weighed as well: this multiple of the
/// service's average, and this much more. In the work bench one random local and one random remote
/// server beside the homes raised the shared tokens that were read from 7 to 19 million, since each
/// copy evicts others.
constexpr double BusyHomeFactor = 3.0;
constexpr double BusyHomeMarginMs = 200.0;
constexpr std::size_t HomeDraws = 8;
/// Probability that the first home of a prompt's shared parts keeps them, and the factor for each
/// further one, so that the first ones are preferred while all are idle.
constexpr double HomeKeeps = 0.9;
constexpr double FurtherHomeFactor = 0.96;
/// The same for the servers that come next, to which calls go while the homes are busy.
constexpr double NextHomeKeeps = 0.5;
constexpr std::size_t NextHomes = 1;
/// Cost of sending a request and its answer to another zone.
constexpr double ZoneCostMs = 60.0;
/// Cost of a call that fails: what the attempt takes before the next one begins.
constexpr double FailureCostMs = 2000.0;
/// Weight of the time for the events after the first, which no objective limits, but which keeps
/// memory and a place for long.
constexpr double WriteWeight = 0.1;
/// Weight of the delay of other streams and waiting requests, summed over them.
constexpr double NeighbourWeight = 0.05;
constexpr double QueueWeight = 3.0;
/// Weight of the time to read shared parts that are not kept: in a full memory they evict as many
/// tokens of other prompts, which are read again later.
constexpr double EvictionWeight = 4.0;
/// Cost of a pause that is longer than its stream tolerates.
constexpr double BrokenStreamCostMs = 30.0;
/// Upper bound of the random time that decides between candidates that are about equal.
constexpr double TieBreakMs = 1.0;
constexpr std::uint64_t TieBreakSteps = 1024;
/// Cost of a first event after the objective, and weight of the time by which it is later. Once a
/// request is late, what matters is that it makes no others late.
constexpr double LateCostMs = 200.0;
constexpr double LatenessWeight = 0.01;
/// Wait at which those that wait at a server are late already, so that more work there does little
/// harm: what stages usually leave of the objective.
constexpr double HopelessWaitMs = 1500.0;

double costOfFirstEvent(double firstEventMs, const RequestWork &work)
{
    const auto left = static_cast<double>(work.objectiveLeft.value());
    if (left <= 0.0 || firstEventMs <= left) {
        return firstEventMs;
    }
    return left + LateCostMs + LatenessWeight * (firstEventMs - left);
}

/// \return rough share of those that wait behind \p waitMs and can still be in time
double shareInTime(double waitMs)
{
    return std::max(1.0 - waitMs / HopelessWaitMs, 0.0);
}

} // namespace

WorkChoice::WorkChoice(WorkTracker &work, framework::IRandom &random)
    : m_work(work), m_random(random)
{ }

const Candidate &WorkChoice::choose(const Candidates &candidates, const ServerQuery &query,
                                    framework::TimePoint now)
{
    const ServiceWork &service = m_work.service(query.service);
    const double writeTokens = service.outputs().estimate(query.work);
    listOptions(candidates, query);
    const bool hasHomes = query.prefixHash != 0 && query.work.parts.size() > 1;
    if (hasHomes) {
        markHomes(query, service, now);
        weighMarked(query, writeTokens, now);
    }
    if (!hasHomes || areHomesBusy(service)) {
        partitionByZone();
        draw(0, m_localOptions, LocalDraws);
        draw(m_localOptions, m_options.size(), RemoteDraws);
        weighMarked(query, writeTokens, now);
    }
    const Option &chosen = best(nullptr);
    ChoiceReason reason = ChoiceReason::LeastWork;
    if (&best(&Option::zoneCost) != &chosen) {
        reason = ChoiceReason::Zone;
    } else if (&best(&Option::costWithoutCache) != &chosen) {
        reason = ChoiceReason::CachedPrompt;
    }
    m_work.chosen(chosen.candidate->entry->id, reason, chosen.keptTokens);
    return *chosen.candidate;
}

void WorkChoice::listOptions(const Candidates &candidates, const ServerQuery &query)
{
    m_options.clear();
    for (const Candidate &candidate : candidates) {
        Option option;
        option.candidate = &candidate;
        option.hash = hashName(candidate.entry->id.value());
        option.isLocal = candidate.entry->zone == query.zone;
        option.score = rendezvousScore(query.prefixHash, option.hash);
        m_options.push_back(option);
    }
}

/// The homes are the same for all zones: with homes in each zone, every zone reads the shared parts
/// for itself, which costs the servers more than the requests cost the links between zones.
void WorkChoice::markHomes(const ServerQuery &query, const ServiceWork &service,
                           framework::TimePoint now)
{
    const auto byScore = [](const Option &a, const Option &b) { return a.score > b.score; };
    const std::size_t homes = homesOf(service, query.work, m_options.size(), now);
    const std::size_t ranked = std::min(homes + NextHomes, m_options.size());
    std::partial_sort(m_options.begin(), m_options.begin() + static_cast<std::ptrdiff_t>(ranked),
                      m_options.end(), byScore);
    for (std::size_t rank = 0; rank < ranked; ++rank) {
        m_options[rank].home = rank < homes
            ? HomeKeeps * std::pow(FurtherHomeFactor, static_cast<double>(rank))
            : NextHomeKeeps;
    }
    draw(0, homes, HomeDraws);
    draw(homes, ranked, NextHomes);
}

/// Puts the options of the same zone first.
void WorkChoice::partitionByZone()
{
    const auto firstRemote = std::partition(m_options.begin(), m_options.end(),
                                            [](const Option &option) { return option.isLocal; });
    m_localOptions = static_cast<std::size_t>(firstRemote - m_options.begin());
}

void WorkChoice::draw(std::size_t first, std::size_t last, std::size_t count)
{
    const std::size_t size = last - first;
    for (std::size_t drawn = 0; drawn < count && size > 0; ++drawn) {
        const std::size_t index = size <= count ? first + drawn : first + m_random.below(size);
        if (index < last) {
            m_options[index].isMarked = true;
        }
    }
}

void WorkChoice::weighMarked(const ServerQuery &query, double writeTokens, framework::TimePoint now)
{
    for (Option &option : m_options) {
        if (option.isMarked && !option.isWeighed) {
            weigh(option, query, writeTokens, now);
        }
    }
}

/// \return whether even the least busy home has clearly more to read than an average server
bool WorkChoice::areHomesBusy(const ServiceWork &service) const
{
    const double averageMs =
        service.meanOtherWaiting() * service.meanReadTokens() * service.readMsPerToken();
    return std::none_of(m_options.begin(), m_options.end(), [averageMs](const Option &option) {
        return option.isWeighed && option.waitMs <= BusyHomeFactor * averageMs + BusyHomeMarginMs;
    });
}

void WorkChoice::weigh(Option &option, const ServerQuery &query, double writeTokens,
                       framework::TimePoint now)
{
    const framework::BackendServerId &id = option.candidate->entry->id;
    const ServiceWork &service = m_work.service(query.service);
    const ServerWork &server = m_work.server(id);
    option.isWeighed = true;
    const auto costOf = [&](double kept) {
        const CompletionEstimate estimate =
            CompletionEstimate::make(server, service, query.work, kept, writeTokens, now);
        option.waitMs = estimate.waitMs;
        return costOfFirstEvent(estimate.firstEventMs, query.work) + WriteWeight * estimate.writeMs
            + NeighbourWeight * estimate.neighbourMs
            + QueueWeight * shareInTime(estimate.waitMs) * estimate.queueMs
            + BrokenStreamCostMs * estimate.brokenStreams + EvictionWeight * estimate.evictionMs;
    };
    option.keptTokens = keptTokens(service, query.work, option.hash, option.home, now);
    option.zoneCost = option.isLocal ? 0.0 : ZoneCostMs;
    const double tieBreak = TieBreakMs * static_cast<double>(m_random.below(TieBreakSteps))
        / static_cast<double>(TieBreakSteps);
    const double other =
        option.zoneCost + tieBreak + FailureCostMs * option.candidate->state->failureRate();
    option.cost = costOf(option.keptTokens) + other;
    option.costWithoutCache = costOf(0.0) + other;
}

/// \param without member that is taken out of the cost, or null
const WorkChoice::Option &WorkChoice::best(double Option::*without) const
{
    const auto costOf = [without](const Option &option) {
        if (without == &Option::costWithoutCache) {
            return option.costWithoutCache;
        }
        return without != nullptr ? option.cost - option.*without : option.cost;
    };
    const Option *best = nullptr;
    for (const Option &option : m_options) {
        if (option.isWeighed && (best == nullptr || costOf(option) < costOf(*best))) {
            best = &option;
        }
    }
    return *best;
}

} // namespace lavendertally::routing
