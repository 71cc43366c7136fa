#include "routing/internal/backendserverselector.h"

#include "framework/irandom.h"
#include "membership/ibackendservers.h"
#include "routing/internal/rendezvous.h"
#include "routing/types/routingerror.h"

#include <algorithm>

namespace lavendertally::routing {

namespace {

/// Utilisation by which a backend server of another zone must be lower.
constexpr double ZonePenalty = 0.2;
/// Utilisation that a certain failure stands for.
constexpr double FailurePenalty = 4.0;
/// Failure rate above which affinity is not followed; a grey backend server fails about a third.
constexpr double MaxAffinityFailureRate = 0.15;
/// Longest load above the average that affinity may cause.
constexpr double AffinityOverload = 1.5;
/// Utilisation up to which affinity is followed in any case.
constexpr double AffinityFree = 0.5;
/// Steps in which equal candidates are told apart at random.
constexpr std::uint64_t TieSteps = 1024;
/// Greatest random part; less than one call more or less on any backend server.
constexpr double TieSpread = 0.01;
/// States kept for backend servers that are not listed; they may come back.
constexpr std::size_t MaxStates = 4096;

} // namespace

BackendServerSelector::BackendServerSelector(const membership::IBackendServers &servers,
                                             framework::IRandom &random)
    : m_servers(servers), m_random(random)
{ }

framework::Result<membership::BackendServerEntry>
BackendServerSelector::select(const ServerQuery &query, framework::TimePoint now)
{
    const Candidates candidates = usable(query, now);
    if (candidates.empty()) {
        return framework::leaf::new_error(RoutingError::NoAdmittingBackend);
    }
    const Candidate *chosen = query.prefixHash != 0 ? byAffinity(candidates, query) : nullptr;
    if (chosen == nullptr) {
        chosen = &cheapest(candidates, query);
    }
    if (query.coldStartRate > 0.0 && now < chosen->entry->coldUntil) {
        chosen->state->takeColdRoom(query.coldStartRate, now);
    }
    return *chosen->entry;
}

/// Backend servers that may be called now; those that are avoided only if there is no other.
BackendServerSelector::Candidates BackendServerSelector::usable(const ServerQuery &query,
                                                                framework::TimePoint now)
{
    forgetGone();
    Candidates open;
    Candidates avoided;
    for (const membership::BackendServerEntry *entry : m_servers.admitting(query.service)) {
        if (query.excluded.contains(entry->id)) {
            continue;
        }
        ServerState &state = m_states[entry->id];
        const bool cold = query.coldStartRate > 0.0 && now < entry->coldUntil;
        if (cold && !state.hasColdRoom(query.coldStartRate, now)) {
            continue;
        }
        const Candidate candidate{entry, &state, state.utilisation(entry->slots, now)};
        (state.isAvoided(now) ? avoided : open).push_back(candidate);
    }
    if (!open.empty()) {
        return open;
    }
    std::sort(avoided.begin(), avoided.end(), [](const Candidate &a, const Candidate &b) {
        return a.state->avoidedUntil() < b.state->avoidedUntil();
    });
    if (avoided.size() > 1) {
        avoided.resize(1);
    }
    return avoided;
}

const BackendServerSelector::Candidate &
BackendServerSelector::cheapest(const Candidates &candidates, const ServerQuery &query)
{
    const Candidate *best = nullptr;
    double bestCost = 0.0;
    for (const Candidate &candidate : candidates) {
        const double tie = TieSpread * static_cast<double>(m_random.below(TieSteps))
            / static_cast<double>(TieSteps);
        const double zone = candidate.entry->zone == query.zone ? 0.0 : ZonePenalty;
        const double cost =
            candidate.utilisation + zone + FailurePenalty * candidate.state->failureRate() + tie;
        if (best == nullptr || cost < bestCost) {
            best = &candidate;
            bestCost = cost;
        }
    }
    return *best;
}

/// Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016).
const BackendServerSelector::Candidate *
BackendServerSelector::byAffinity(const Candidates &candidates, const ServerQuery &query)
{
    double sum = 0.0;
    for (const Candidate &candidate : candidates) {
        sum += candidate.utilisation;
    }
    const double average = sum / static_cast<double>(candidates.size());
    const double bound = std::max(AffinityFree, average * AffinityOverload);
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

void BackendServerSelector::forgetGone()
{
    if (m_states.size() <= MaxStates) {
        return;
    }
    std::erase_if(m_states, [this](const auto &entry) {
        return m_servers.findAdmitting(entry.first) == nullptr;
    });
}

void BackendServerSelector::callStarted(const framework::BackendServerId &server,
                                        framework::TimePoint now)
{
    m_states[server].callStarted(now);
}

void BackendServerSelector::responseStarted(const framework::BackendServerId &server,
                                            framework::TimePoint started, framework::TimePoint now)
{
    m_states[server].responseStarted(started, now);
}

void BackendServerSelector::callEnded(const framework::BackendServerId &server, CallOutcome outcome,
                                      framework::TimePoint now)
{
    m_states[server].callEnded(outcome, now);
}

void BackendServerSelector::observeLoad(const framework::BackendServerId &server,
                                        const ServerLoad &load, framework::TimePoint now)
{
    m_states[server].observeLoad(load, now);
}

} // namespace lavendertally::routing
