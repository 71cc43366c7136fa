#include "stages/internal/stageestimator.h"

#include "membership/ibackendservers.h"
#include "ratelimit/iserverratelimits.h"
#include "routing/iserverfilter.h"
#include "routing/types/serverquery.h"
#include "serving/iservingstate.h"
#include "serving/types/servingconfiguration.h"
#include "stages/internal/resulttracker.h"
#include "stages/internal/stagejobstate.h"

#include <algorithm>
#include <utility>

namespace lavendertally::stages {

namespace {

/// Lower bound that keeps the expected wait finite when no backend server is available.
constexpr double MinServerCount = 0.1;

} // namespace

StageEstimator::StageEstimator(const serving::IServingState &serving,
                               const membership::IBackendServers &servers,
                               const ratelimit::IServerRateLimits &rateLimits,
                               ResultTracker &resultTracker, const StageCoordinatorOptions &options,
                               std::vector<routing::IServerFilter *> filters)
    : m_serving(serving), m_servers(servers), m_rateLimits(rateLimits),
      m_resultTracker(resultTracker), m_options(options), m_filters(std::move(filters))
{ }

const serving::StagePool *StageEstimator::findPool(const framework::ServiceId &service) const
{
    const auto configuration = m_serving.configuration();
    const serving::ServiceSpec *spec =
        configuration ? configuration->findService(service) : nullptr;
    return spec != nullptr && spec->stagePool ? &*spec->stagePool : nullptr;
}

framework::Milliseconds StageEstimator::criticalPathTime(const StageJobState &job,
                                                         std::size_t stage) const
{
    framework::Milliseconds longest(0);
    for (const std::size_t dependent : job.dependents(stage)) {
        longest = std::max(longest, criticalPathTime(job, dependent));
    }
    const serving::StagePool *pool = findPool(job.stage(stage).service);
    return pool == nullptr ? longest : longest + pool->batchTime(pool->batchSize / 2);
}

void StageEstimator::addWait(const framework::ServiceId &service, std::int64_t piecesAhead,
                             framework::Milliseconds callsAhead, framework::TimePoint now)
{
    const serving::StagePool *pool = findPool(service);
    if (pool == nullptr) {
        return;
    }
    const auto timePerPiece =
        static_cast<double>(pool->batchTime(pool->batchSize).value()) / pool->batchSize;
    const double workAheadMs =
        static_cast<double>(piecesAhead) * timePerPiece / m_options.assumedBatchFill
        + static_cast<double>(callsAhead.value());
    const double servers = std::max(effectiveServerCount(service, now), MinServerCount);
    m_waits[service] = framework::Milliseconds(static_cast<std::int64_t>(workAheadMs / servers));
}

framework::Milliseconds StageEstimator::waitFor(const framework::ServiceId &service) const
{
    const auto found = m_waits.find(service);
    return found == m_waits.end() ? framework::Milliseconds(0) : found->second;
}

double StageEstimator::effectiveServerCount(const framework::ServiceId &service,
                                            framework::TimePoint now)
{
    double servers = 0.0;
    std::vector<const membership::BackendServerEntry *> usable = m_servers.admitting(service);
    routing::ServerQuery query;
    query.service = service;
    for (routing::IServerFilter *filter : m_filters) {
        filter->restrict(query, usable, now);
    }
    for (const membership::BackendServerEntry *server : usable) {
        const StageServerState &state = m_resultTracker.server(server->id);
        if (state.isPaused(now)) {
            continue;
        }
        const double speed = 1.0 / std::max(state.slowdown(now), 1.0);
        const auto limit = m_rateLimits.rateOf(server->id);
        servers += limit ? std::min(speed, callsInBatchTime(service, *limit)) : speed;
    }
    return servers;
}

/// \return calls that \p limit allows during a call with a full batch
double StageEstimator::callsInBatchTime(const framework::ServiceId &service,
                                        framework::RequestRate limit) const
{
    constexpr double UnitMilliseconds = 1e6;
    const serving::StagePool *pool = findPool(service);
    if (pool == nullptr) {
        return 0.0;
    }
    return static_cast<double>(limit.value())
        * static_cast<double>(pool->batchTime(pool->batchSize).value()) / UnitMilliseconds;
}

framework::TimePoint StageEstimator::expectedCompletion(const StageJobState &job,
                                                        framework::TimePoint now) const
{
    std::vector<framework::TimePoint> ends;
    framework::TimePoint last = now;
    for (std::size_t stage = 0; stage < job.stageCount(); ++stage) {
        framework::TimePoint start = now + waitFor(job.stage(stage).service);
        for (const std::size_t predecessor : job.predecessors(stage)) {
            start = std::max(start, ends[predecessor]);
        }
        const serving::StagePool *pool = findPool(job.stage(stage).service);
        ends.push_back(pool == nullptr ? start : start + pool->batchTime(pool->batchSize / 2));
        last = std::max(last, ends.back());
    }
    return last;
}

framework::ServiceId StageEstimator::bottleneck(const StageJobState &job) const
{
    framework::ServiceId worst;
    framework::Milliseconds longest(-1);
    for (std::size_t stage = 0; stage < job.stageCount(); ++stage) {
        const framework::Milliseconds own = waitFor(job.stage(stage).service);
        if (own > longest) {
            longest = own;
            worst = job.stage(stage).service;
        }
    }
    return worst;
}

} // namespace lavendertally::stages
