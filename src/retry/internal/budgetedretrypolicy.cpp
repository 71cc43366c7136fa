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
    budgetOf(service).recordFirstAttempt();
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
    if (!isSafeToRepeat(query) || query.attempts >= m_limits.maxAttempts) {
        return {};
    }
    const framework::Milliseconds wait = backoff(query.previousBackoff);
    if (wait >= query.budget) {
        return {};
    }
    if (!budgetOf(query.service).spend(leftToOthers(query.priority), now)) {
        return {};
    }
    return {.retry = true, .backoff = wait};
}

RetryBudget &BudgetedRetryPolicy::budgetOf(const framework::ServiceId &service)
{
    return m_budgets.try_emplace(service, m_limits).first->second;
}

std::uint32_t BudgetedRetryPolicy::leftToOthers(configuration::PriorityClass priority) const
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

/// Decorrelated jitter: Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015.
framework::Milliseconds BudgetedRetryPolicy::backoff(framework::Milliseconds previous)
{
    constexpr std::int64_t Growth = 3;
    const std::int64_t least = m_limits.minBackoff.value();
    const std::int64_t most = std::max(least, previous.value()) * Growth;
    const auto span = static_cast<std::uint64_t>(most - least + 1);
    const auto drawn = least + static_cast<std::int64_t>(m_random.below(span));
    return std::min(m_limits.maxBackoff, framework::Milliseconds(drawn));
}

} // namespace lavendertally::retry
