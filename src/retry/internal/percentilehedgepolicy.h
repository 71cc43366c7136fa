#pragma once

#include "retry/ihedgepolicy.h"
#include "retry/internal/recentdurations.h"
#include "retry/internal/retrybudget.h"
#include "retry/types/hedgelimits.h"

#include <map>

namespace lavendertally::retry {

/// Hedges idempotent stages after a high percentile of their recent latencies, within one budget
/// per service ("hedged requests" in Dean and Barroso, "The tail at scale", 2013).
class PercentileHedgePolicy final : public IHedgePolicy
{
public:
    explicit PercentileHedgePolicy(const HedgeLimits &limits);

    void recordFirstAttempt(const framework::ServiceId &service, framework::TimePoint now) override;
    void observe(const framework::PipelineId &pipeline, const framework::StageId &stage,
                 framework::Milliseconds latency, framework::TimePoint now) override;
    std::optional<framework::Milliseconds> hedgeDelay(const HedgeQuery &query,
                                                      framework::TimePoint now) const override;
    bool tryAcquireHedge(const HedgeQuery &query, framework::TimePoint now) override;

private:
    RetryBudget &budgetOf(const framework::ServiceId &service);

    HedgeLimits m_limits;
    std::map<framework::ServiceId, RetryBudget> m_budgets;
    std::map<framework::PipelineId, std::map<framework::StageId, RecentDurations>> m_latencies;
};

} // namespace lavendertally::retry
