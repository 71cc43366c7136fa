#include "retry/internal/percentilehedgepolicy.h"

#include <algorithm>

namespace lavendertally::retry {

PercentileHedgePolicy::PercentileHedgePolicy(const HedgeLimits &limits) : m_limits(limits) { }

void PercentileHedgePolicy::recordFirstAttempt(const framework::ServiceId &service,
                                               framework::TimePoint /*now*/)
{
    budgetOf(service).deposit();
}

void PercentileHedgePolicy::observe(const framework::PipelineId &pipeline,
                                    const framework::StageId &stage,
                                    framework::Milliseconds latency, framework::TimePoint now)
{
    m_latencies[pipeline][stage].add(latency, now);
}

std::optional<framework::Milliseconds>
PercentileHedgePolicy::hedgeDelay(const HedgeQuery &query, framework::TimePoint now) const
{
    const auto stages = m_latencies.find(query.pipeline);
    if (!query.idempotent || stages == m_latencies.end()) {
        return std::nullopt;
    }
    const auto latencies = stages->second.find(query.stage);
    if (latencies == stages->second.end()) {
        return std::nullopt;
    }
    const auto latency = latencies->second.quantile(m_limits.percentile, now);
    if (!latency) {
        return std::nullopt;
    }
    const framework::Milliseconds delay = std::max(*latency, m_limits.minDelay);
    return delay < query.budget ? std::optional(delay) : std::nullopt;
}

bool PercentileHedgePolicy::tryAcquireHedge(const HedgeQuery &query, framework::TimePoint now)
{
    return query.idempotent && budgetOf(query.service).tryWithdraw(0, now);
}

RetryBudget &PercentileHedgePolicy::budgetOf(const framework::ServiceId &service)
{
    RetryLimits limits;
    limits.maxRatio = m_limits.maxRatio;
    limits.reserveRetries = 0;
    limits.bucketCapacity = m_limits.bucketCapacity;
    return m_budgets.try_emplace(service, limits).first->second;
}

} // namespace lavendertally::retry
