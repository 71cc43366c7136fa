#include "stages/internal/stageestimator.h"

#include "membership/ibackendservers.h"
#include "serving/iservingstate.h"
#include "serving/types/servingconfiguration.h"
#include "stages/internal/resultledger.h"
#include "stages/internal/stagejobstate.h"

#include <algorithm>

namespace lavendertally::stages {

namespace {

/// Bounds the wait for a pool of which no backend server works.
constexpr double LeastServers = 0.1;

} // namespace

StageEstimator::StageEstimator(const serving::IServingState &serving,
                               const membership::IBackendServers &servers, ResultLedger &ledger,
                               const StageLimits &limits)
    : m_serving(serving), m_servers(servers), m_ledger(ledger), m_limits(limits)
{ }

const serving::StagePool *StageEstimator::findPool(const framework::ServiceId &service) const
{
    const auto configuration = m_serving.configuration();
    const serving::ServiceSpec *spec =
        configuration ? configuration->findService(service) : nullptr;
    return spec != nullptr && spec->stagePool ? &*spec->stagePool : nullptr;
}

framework::Milliseconds StageEstimator::tail(const StageJobState &job, std::size_t stage) const
{
    framework::Milliseconds longest(0);
    for (const std::size_t dependent : job.dependents(stage)) {
        longest = std::max(longest, tail(job, dependent));
    }
    const serving::StagePool *pool = findPool(job.stage(stage).service);
    return pool == nullptr ? longest : longest + pool->batchTime(pool->batchSize / 2);
}

framework::TimePoint StageEstimator::rank(const StageJobState &job) const
{
    return job.objective()
        + m_limits.leadPerRank * static_cast<std::int64_t>(job.job().priority.value());
}

void StageEstimator::add(const StageJobState &job)
{
    for (std::size_t stage = 0; stage < job.stageCount(); ++stage) {
        const serving::StagePool *pool = findPool(job.stage(stage).service);
        if (pool == nullptr) {
            continue;
        }
        const auto full =
            static_cast<double>(pool->batchTime(pool->batchSize).value()) / pool->batchSize;
        m_work[job.stage(stage).service] +=
            job.waitingPieces(stage) * full / m_limits.usualBatchFill;
    }
}

void StageEstimator::add(const framework::ServiceId &service, framework::Milliseconds left)
{
    m_work[service] += static_cast<double>(std::max<std::int64_t>(left.value(), 0));
}

framework::Milliseconds StageEstimator::wait(const framework::ServiceId &service,
                                             framework::TimePoint now)
{
    const double servers = std::max(workingServers(service, now), LeastServers);
    return framework::Milliseconds(static_cast<std::int64_t>(m_work[service] / servers));
}

double StageEstimator::workingServers(const framework::ServiceId &service, framework::TimePoint now)
{
    double servers = 0.0;
    for (const membership::BackendServerEntry *server : m_servers.admitting(service)) {
        const StageServerState &state = m_ledger.server(server->id);
        if (!state.isPaused(now)) {
            servers += 1.0 / std::max(state.slowness(now), 1.0);
        }
    }
    return servers;
}

framework::TimePoint StageEstimator::finish(const StageJobState &job, framework::TimePoint now)
{
    std::vector<framework::TimePoint> ends;
    framework::TimePoint last = now;
    for (std::size_t stage = 0; stage < job.stageCount(); ++stage) {
        framework::TimePoint start = now + wait(job.stage(stage).service, now);
        for (const std::size_t before : job.predecessors(stage)) {
            start = std::max(start, ends[before]);
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
        const framework::Milliseconds own = wait(job.stage(stage).service, now);
        if (own > longest) {
            longest = own;
            worst = job.stage(stage).service;
        }
    }
    return worst;
}

} // namespace lavendertally::stages
