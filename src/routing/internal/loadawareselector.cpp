#include "routing/internal/loadawareselector.h"

#include "framework/irandom.h"
#include "membership/imembership.h"
#include "routing/internal/rendezvous.h"
#include "routing/types/routingerror.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>

namespace lavendertally::routing {

namespace {

constexpr double Percent = 100.0;

/// Moves a random sample of \p count of \p backends to the front (partial Fisher-Yates shuffle).
void sampleToFront(std::vector<const BackendHostTable::BackendHost *> &backends, std::size_t count,
                   framework::IRandom &random)
{
    for (std::size_t drawn = 0; drawn < count; ++drawn) {
        std::swap(backends[drawn], backends[drawn + random.below(backends.size() - drawn)]);
    }
}

} // namespace

LoadAwareSelector::LoadAwareSelector(std::shared_ptr<BackendHostTable> table,
                                     framework::IRandom &random)
    : m_table(std::move(table)), m_random(random)
{ }

framework::Result<membership::HostEntry> LoadAwareSelector::selectHost(const RoutingQuery &query,
                                                                       framework::TimePoint now)
{
    const Candidates found = candidates(query, now);
    if (!found.available.empty()) {
        const bool hasAffinity = query.prefixHash != 0;
        const BackendHost *backend = hasAffinity ? byAffinity(found.available, query, now)
                                                 : leastLoaded(found.available, query, now);
        return backend->host;
    }
    if (!found.coldAndFull.empty()) {
        return leastLoaded(found.coldAndFull, query, now)->host;
    }
    if (!found.ejected.empty()) {
        const auto first =
            std::min_element(found.ejected.begin(), found.ejected.end(),
                             [](const BackendHost *a, const BackendHost *b) {
                                 return a->state->ejectedUntil() < b->state->ejectedUntil();
                             });
        return (*first)->host;
    }
    return framework::leaf::new_error(RoutingError::NoAdmittingBackend);
}

LoadAwareSelector::Candidates LoadAwareSelector::candidates(const RoutingQuery &query,
                                                            framework::TimePoint now)
{
    Candidates found;
    const HostSelectorSettings &settings = m_table->settings();
    for (const BackendHost &backend : m_table->backends(query.service, query.localZone)) {
        const bool excluded = query.excluded.contains(backend.host.id);
        if (excluded || !m_table->membership().mayReceiveWork(backend.host.id, backend.host.zone)) {
            continue;
        }
        if (backend.state->isEjected(now)) {
            found.ejected.push_back(&backend);
        } else if (backend.state->isColdAndFull(settings, now)) {
            found.coldAndFull.push_back(&backend);
        } else {
            found.available.push_back(&backend);
        }
    }
    return found;
}

double LoadAwareSelector::averageExternalUtilisation(const BackendHosts &backends,
                                                     framework::TimePoint now) const
{
    double weights = 0.0;
    double sum = 0.0;
    for (const BackendHost *backend : backends) {
        const double weight = backend->state->reportWeight(m_table->settings(), now);
        weights += weight;
        sum += weight * backend->state->externalUtilisation();
    }
    return weights > 0.0 ? sum / weights : 0.0;
}

const LoadAwareSelector::BackendHost *LoadAwareSelector::leastLoaded(const BackendHosts &backends,
                                                                     const RoutingQuery &query,
                                                                     framework::TimePoint now)
{
    const HostSelectorSettings &settings = m_table->settings();
    const double external = averageExternalUtilisation(backends, now);
    BackendHosts local;
    BackendHosts remote;
    for (const BackendHost *backend : backends) {
        (backend->host.zone == query.localZone ? local : remote).push_back(backend);
    }
    const BackendHost *best = nullptr;
    double bestLoad = std::numeric_limits<double>::infinity();
    const auto compare = [&](BackendHosts &pool, double penalty) {
        const std::size_t count = std::min<std::size_t>(settings.choices, pool.size());
        sampleToFront(pool, count, m_random);
        for (std::size_t index = 0; index < count; ++index) {
            const double load = penalty + pool[index]->state->utilisation(settings, external, now);
            if (load < bestLoad) {
                best = pool[index];
                bestLoad = load;
            }
        }
    };
    compare(local, 0.0);
    compare(remote, settings.remotePenaltyPercent / Percent);
    return best;
}

/// Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016): among the
/// hosts whose load stays within a bound above the average, the one with the highest rendezvous
/// score for the prefix is selected.
const LoadAwareSelector::BackendHost *LoadAwareSelector::byAffinity(const BackendHosts &backends,
                                                                    const RoutingQuery &query,
                                                                    framework::TimePoint now) const
{
    const HostSelectorSettings &settings = m_table->settings();
    const double external = averageExternalUtilisation(backends, now);
    double calls = 1.0; // includes the call to be sent
    double capacity = 0.0;
    for (const BackendHost *backend : backends) {
        calls += backend->state->utilisation(settings, external, now) * backend->state->limit();
        capacity += backend->state->limit();
    }
    const double bound = calls / capacity * settings.affinityLoadBoundPercent / Percent;
    const double unbounded = settings.affinityUnboundedPercent / Percent;
    const BackendHost *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const BackendHost *backend : backends) {
        const double limit = backend->state->limit();
        const double load = backend->state->utilisation(settings, external, now) * limit;
        const std::uint64_t score = rendezvousScore(query.prefixHash, backend->hash);
        const bool fits = load + 1.0 <= std::max(std::ceil(bound * limit), unbounded * limit);
        if (fits && (best == nullptr || score > bestScore)) {
            best = backend;
            bestScore = score;
        }
    }
    return best != nullptr ? best : backends.front();
}

void LoadAwareSelector::callStarted(const framework::HostId &host, framework::TimePoint /*now*/)
{
    if (BackendHostState *const state = m_table->find(host)) {
        state->callStarted();
    }
}

void LoadAwareSelector::callEnded(const framework::HostId &host, framework::TimePoint /*now*/)
{
    if (BackendHostState *const state = m_table->find(host)) {
        state->callEnded();
    }
}

void LoadAwareSelector::observeLoad(const framework::HostId &host, const protocol::LoadReport &load,
                                    framework::TimePoint now)
{
    if (BackendHostState *const state = m_table->find(host)) {
        state->observeLoad(load, now);
    }
}

void LoadAwareSelector::observeFailure(const framework::HostId &host, framework::TimePoint now)
{
    constexpr std::uint64_t JitterSteps = 1024;
    const double jitter = static_cast<double>(m_random.below(JitterSteps)) / JitterSteps;
    if (BackendHostState *const state = m_table->find(host)) {
        state->observeFailure(m_table->settings(), jitter, now);
    }
}

} // namespace lavendertally::routing
