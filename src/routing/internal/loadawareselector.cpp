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

/// Draws \p count of \p workers to the front, without repetition.
void drawToFront(std::vector<const WorkerTable::Worker *> &workers, std::size_t count,
                 framework::IRandom &random)
{
    for (std::size_t drawn = 0; drawn < count; ++drawn) {
        std::swap(workers[drawn], workers[drawn + random.below(workers.size() - drawn)]);
    }
}

} // namespace

LoadAwareSelector::LoadAwareSelector(std::shared_ptr<WorkerTable> table, framework::IRandom &random)
    : m_table(std::move(table)), m_random(random)
{ }

framework::Result<membership::HostEntry> LoadAwareSelector::selectHost(const RoutingQuery &query,
                                                                       framework::TimePoint now)
{
    const Candidates found = candidates(query, now);
    if (!found.open.empty()) {
        const bool affinity = query.prefixHash != 0;
        const Worker *worker =
            affinity ? byAffinity(found.open, query, now) : leastLoaded(found.open, query, now);
        return worker->host;
    }
    if (!found.coldWithoutRoom.empty()) {
        return leastLoaded(found.coldWithoutRoom, query, now)->host;
    }
    if (!found.ejected.empty()) {
        const auto first = std::min_element(
            found.ejected.begin(), found.ejected.end(), [](const Worker *a, const Worker *b) {
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
    const HostSelectorSettings &limits = m_table->limits();
    for (const Worker &worker : m_table->workers(query.service, query.localZone)) {
        const bool excluded = query.excluded.contains(worker.host.id);
        if (excluded || !m_table->membership().mayReceiveWork(worker.host.id, worker.host.zone)) {
            continue;
        }
        if (worker.state->isEjected(now)) {
            found.ejected.push_back(&worker);
        } else if (worker.state->isColdWithoutRoom(limits, now)) {
            found.coldWithoutRoom.push_back(&worker);
        } else {
            found.open.push_back(&worker);
        }
    }
    return found;
}

double LoadAwareSelector::usualForeign(const Workers &workers, framework::TimePoint now) const
{
    double weights = 0.0;
    double sum = 0.0;
    for (const Worker *worker : workers) {
        const double weight = worker->state->reportWeight(m_table->limits(), now);
        weights += weight;
        sum += weight * worker->state->foreignUtilisation();
    }
    return weights > 0.0 ? sum / weights : 0.0;
}

const LoadAwareSelector::Worker *LoadAwareSelector::leastLoaded(const Workers &workers,
                                                                const RoutingQuery &query,
                                                                framework::TimePoint now)
{
    const HostSelectorSettings &limits = m_table->limits();
    const double usual = usualForeign(workers, now);
    Workers local;
    Workers remote;
    for (const Worker *worker : workers) {
        (worker->host.zone == query.localZone ? local : remote).push_back(worker);
    }
    const Worker *best = nullptr;
    double bestLoad = std::numeric_limits<double>::infinity();
    const auto compare = [&](Workers &pool, double penalty) {
        const std::size_t count = std::min<std::size_t>(limits.choices, pool.size());
        drawToFront(pool, count, m_random);
        for (std::size_t index = 0; index < count; ++index) {
            const double load = penalty + pool[index]->state->utilisation(limits, usual, now);
            if (load < bestLoad) {
                best = pool[index];
                bestLoad = load;
            }
        }
    };
    compare(local, 0.0);
    compare(remote, limits.remotePenaltyPercent / Percent);
    return best;
}

/// Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016): the first
/// backend server in the order of the prefix whose load stays near the average takes the call.
const LoadAwareSelector::Worker *LoadAwareSelector::byAffinity(const Workers &workers,
                                                               const RoutingQuery &query,
                                                               framework::TimePoint now) const
{
    const HostSelectorSettings &limits = m_table->limits();
    const double usual = usualForeign(workers, now);
    double calls = 1.0;
    double places = 0.0;
    for (const Worker *worker : workers) {
        calls += worker->state->utilisation(limits, usual, now) * worker->state->limit();
        places += worker->state->limit();
    }
    const double bound = calls / places * limits.affinityLoadPercent / Percent;
    const double free = limits.affinityFreePercent / Percent;
    const Worker *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const Worker *worker : workers) {
        const double limit = worker->state->limit();
        const double load = worker->state->utilisation(limits, usual, now) * limit;
        const std::uint64_t score = rendezvousScore(query.prefixHash, worker->hash);
        const bool fits = load + 1.0 <= std::max(std::ceil(bound * limit), free * limit);
        if (fits && (best == nullptr || score > bestScore)) {
            best = worker;
            bestScore = score;
        }
    }
    return best != nullptr ? best : workers.front();
}

void LoadAwareSelector::callStarted(const framework::HostId &host, framework::TimePoint /*now*/)
{
    if (WorkerState *const state = m_table->find(host)) {
        state->callStarted();
    }
}

void LoadAwareSelector::callEnded(const framework::HostId &host, framework::TimePoint /*now*/)
{
    if (WorkerState *const state = m_table->find(host)) {
        state->callEnded();
    }
}

void LoadAwareSelector::observeLoad(const framework::HostId &host, const protocol::LoadReport &load,
                                    framework::TimePoint now)
{
    if (WorkerState *const state = m_table->find(host)) {
        state->observeLoad(load, now);
    }
}

void LoadAwareSelector::observeFailure(const framework::HostId &host, framework::TimePoint now)
{
    constexpr std::uint64_t JitterSteps = 1024;
    const double jitter = static_cast<double>(m_random.below(JitterSteps)) / JitterSteps;
    if (WorkerState *const state = m_table->find(host)) {
        state->observeFailure(m_table->limits(), jitter, now);
    }
}

} // namespace lavendertally::routing
