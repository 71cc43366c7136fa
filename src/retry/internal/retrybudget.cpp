#include "retry/internal/retrybudget.h"

#include <algorithm>

namespace lavendertally::retry {

namespace {

constexpr std::int64_t BalancePerRetry = 1000;

} // namespace

RetryBudget::RetryBudget(const RetryLimits &limits)
    : m_limits(limits), m_reserve(limits.reserveRetries)
{ }

void RetryBudget::setLimits(const RetryLimits &limits)
{
    m_limits = limits;
    m_balance = std::min(m_balance, limits.bucketCapacity * BalancePerRetry);
    m_reserve = std::min(m_reserve, limits.reserveRetries);
}

void RetryBudget::deposit()
{
    const std::int64_t capacity = m_limits.bucketCapacity * BalancePerRetry;
    m_balance = std::min(capacity, m_balance + m_limits.maxRatio.value());
}

bool RetryBudget::tryWithdraw(std::uint32_t headroom, framework::TimePoint now)
{
    refillReserve(now);
    if (m_balance >= (headroom + 1) * BalancePerRetry) {
        m_balance -= BalancePerRetry;
        return true;
    }
    if (m_reserve == 0) {
        return false;
    }
    if (m_reserve == m_limits.reserveRetries) {
        m_reserveRefilledAt = now;
    }
    --m_reserve;
    return true;
}

void RetryBudget::refillReserve(framework::TimePoint now)
{
    const std::int64_t interval = m_limits.reserveRefillInterval.value();
    const std::int64_t intervals = (now - m_reserveRefilledAt).value() / interval;
    if (intervals <= 0) {
        return;
    }
    const std::int64_t refilled = m_reserve + intervals;
    m_reserve =
        static_cast<std::uint32_t>(std::min<std::int64_t>(m_limits.reserveRetries, refilled));
    m_reserveRefilledAt = m_reserveRefilledAt + m_limits.reserveRefillInterval * intervals;
}

} // namespace lavendertally::retry
