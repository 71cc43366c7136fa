#include "stages/internal/stageestimator.h"

#include "membership/ibackendservers.h"
#include "serving/iservingstate.h"
#include "serving/types/servingconfiguration.h"
#include "stages/internal/resulttracker.h"
#include "stages/internal/stagejobstate.h"

#include <algorithm>

namespace lavendertally::stages {

namespace {

/// Lower bound that keeps the expected wait finite when no backend server is available.
constexpr double MinServerCount = 0.1;

} // namespace

StageEstimator::StageEstimator(const serving::IServingState &serving,
                               const membership::IBackendServers &servers,
                               ResultTracker &resultTracker, const StageCoordinatorOptions &options)
    : m_serving(serving), m_servers(servers), m_resultTracker(resultTracker), m_options(options)
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

framework::TimePoint StageEstimator::effectiveDueTime(const StageJobState &job) const
{
    return job.objective()
        + m_options.headStartPerRank * static_cast<std::int64_t>(job.job().priority.value());
}

void StageEstimator::addWorkAhead(const StageJobState &job)
{
    for (std::size_t stage = 0; stage < job.stageCount(); ++stage) {
        const serving::StagePool *pool = findPool(job.stage(stage).service);
        if (pool == nullptr) {
            continue;
        }
        const auto timePerPiece =
            static_cast<double>(pool->batchTime(pool->batchSize).value()) / pool->batchSize;
        m_workAheadMs[job.stage(stage).service] +=
            job.waitingPieces(stage) * timePerPiece / m_options.assumedBatchFill;
    }
}

void StageEstimator::addWorkAhead(const framework::ServiceId &service,
                                  framework::Milliseconds remaining)
{
    m_workAheadMs[service] += static_cast<double>(std::max<std::int64_t>(remaining.value(), 0));
}

framework::Milliseconds StageEstimator::expectedWait(const framework::ServiceId &service,
                                                     framework::TimePoint now)
{
    const double servers = std::max(effectiveServerCount(service, now), MinServerCount);
    return framework::Milliseconds(static_cast<std::int64_t>(m_workAheadMs[service] / servers));
}

double StageEstimator::effectiveServerCount(const framework::ServiceId &service,
                                            framework::TimePoint now)
{
    double servers = 0.0;
    for (const membership::BackendServerEntry *server : m_servers.admitting(service)) {
        const StageServerState &state = m_resultTracker.server(server->id);
        if (!state.isPaused(now)) {
            servers += 1.0 / std::max(state.slowdown(now), 1.0);
        }
    }
    return servers;
}

framework::TimePoint StageEstimator::expectedCompletion(const StageJobState &job,
                                                        framework::TimePoint now)
{
    std::vector<framework::TimePoint> ends;
    framework::TimePoint last = now;
    for (std::size_t stage = 0; stage < job.stageCount(); ++stage) {
        framework::TimePoint start = now + expectedWait(job.stage(stage).service, now);
        for (const std::size_t predecessor : job.predecessors(stage)) {
            start = std::max(start, ends[predecessor]);
        }
        const serving::StagePool *pool = findPool(job.stage(stage).service);
        ends.push_back(pool == nullptr ? start : start + pool->batchTime(pool->batchSize / 2));
        last = std::max(last, ends.back());
    }
    return last;
}

framework::ServiceId StageEstimator::bottleneck(const StageJobState &job, framework::TimePoint now)
{
    framework::ServiceId worst;
    framework::Milliseconds longest(-1);
    for (std::size_t stage = 0; stage < job.stageCount(); ++stage) {
        const framework::Milliseconds own = expectedWait(job.stage(stage).service, now);
        if (own > longest) {
            longest = own;
            worst = job.stage(stage).service;
        }
    }
    return worst;
}

} // namespace lavendertally::stages
