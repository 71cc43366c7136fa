#include "retry/internal/budgetedretrypolicy.h"

#include "framework/irandom.h"
#include "retry/internal/retryrules.h"

#include <algorithm>

namespace lavendertally::retry {

BudgetedRetryPolicy::BudgetedRetryPolicy(framework::IRandom &random, const RetryLimits &limits)
    : m_random(random), m_limits(limits)
{ }

void BudgetedRetryPolicy::recordFirstAttempt(const framework::ServiceId &service,
                                             framework::TimePoint /*now*/)
{
    budgetOf(service).deposit();
}

void BudgetedRetryPolicy::setLimits(const RetryLimits &limits)
{
    m_limits = limits;
    for (auto &[service, budget] : m_budgets) {
        budget.setLimits(limits);
    }
}

RetryDecision BudgetedRetryPolicy::decide(const RetryQuery &query, framework::TimePoint now)
{
    if (!isSafeToRetry(query) || query.attempts >= m_limits.maxAttempts) {
        return {};
    }
    const framework::Milliseconds backoff = nextBackoff(query.previousBackoff);
    if (backoff >= query.budget) {
        return {};
    }
    if (!budgetOf(query.service).tryWithdraw(headroomFor(query.priority), now)) {
        return {};
    }
    return {.retry = true, .backoff = backoff};
}

RetryBudget &BudgetedRetryPolicy::budgetOf(const framework::ServiceId &service)
{
    return m_budgets.try_emplace(service, m_limits).first->second;
}

std::uint32_t BudgetedRetryPolicy::headroomFor(configuration::PriorityClass priority) const
{
    constexpr std::uint32_t Percent = 100;
    switch (priority) {
    case configuration::PriorityClass::Interactive:
        return 0;
    case configuration::PriorityClass::Standard:
        return m_limits.bucketCapacity * m_limits.standardHeadroomPercent / Percent;
    case configuration::PriorityClass::Background:
        return m_limits.bucketCapacity * m_limits.backgroundHeadroomPercent / Percent;
    }
    return 0;
}

/// Decorrelated jitter (Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015).
framework::Milliseconds BudgetedRetryPolicy::nextBackoff(framework::Milliseconds previous)
{
    constexpr std::int64_t GrowthFactor = 3;
    const std::int64_t lower = m_limits.minBackoff.value();
    const std::int64_t upper = std::max(lower, previous.value()) * GrowthFactor;
    const auto span = static_cast<std::uint64_t>(upper - lower + 1);
    const auto drawn = lower + static_cast<std::int64_t>(m_random.below(span));
    return std::min(m_limits.maxBackoff, framework::Milliseconds(drawn));
}

} // namespace lavendertally::retry
