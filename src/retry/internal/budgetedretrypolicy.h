#pragma once

#include "retry/internal/retrybudget.h"
#include "retry/iretrypolicy.h"
#include "retry/types/retrylimits.h"

#include <cstdint>
#include <map>

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::retry {

/// Retries within one budget per service and backs off between attempts with decorrelated jitter.
class BudgetedRetryPolicy final : public IRetryPolicy
{
public:
    BudgetedRetryPolicy(framework::IRandom &random, const RetryLimits &limits);

    void recordFirstAttempt(const framework::ServiceId &service, framework::TimePoint now) override;
    void setLimits(const RetryLimits &limits) override;
    RetryDecision decide(const RetryQuery &query, framework::TimePoint now) override;

private:
    RetryBudget &budgetOf(const framework::ServiceId &service);
    std::uint32_t headroomFor(configuration::PriorityClass priority) const;
    framework::Milliseconds nextBackoff(framework::Milliseconds previous);

    framework::IRandom &m_random;
    RetryLimits m_limits;
    std::map<framework::ServiceId, RetryBudget> m_budgets;
};

} // namespace lavendertally::retry
