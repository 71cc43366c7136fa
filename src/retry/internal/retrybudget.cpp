#include "retry/internal/retrybudget.h"

#include <algorithm>

namespace lavendertally::retry {

namespace {

constexpr std::int64_t OneRetry = 1000;

} // namespace

RetryBudget::RetryBudget(const RetryLimits &limits)
    : m_limits(limits), m_reserve(limits.reserveRetries)
{ }

void RetryBudget::setLimits(const RetryLimits &limits)
{
    m_limits = limits;
    m_saved = std::min(m_saved, limits.bucketCapacity * OneRetry);
    m_reserve = std::min(m_reserve, limits.reserveRetries);
}

void RetryBudget::recordFirstAttempt()
{
    const std::int64_t most = m_limits.bucketCapacity * OneRetry;
    m_saved = std::min(most, m_saved + m_limits.maxRatio.value());
}

bool RetryBudget::spend(std::uint32_t leave, framework::TimePoint now)
{
    refillReserve(now);
    if (m_saved >= (leave + 1) * OneRetry) {
        m_saved -= OneRetry;
        return true;
    }
    if (m_reserve == 0) {
        return false;
    }
    if (m_reserve == m_limits.reserveRetries) {
        m_reserveRefilled = now;
    }
    --m_reserve;
    return true;
}

void RetryBudget::refillReserve(framework::TimePoint now)
{
    const std::int64_t interval = m_limits.reserveRefillInterval.value();
    const std::int64_t intervals = (now - m_reserveRefilled).value() / interval;
    if (intervals <= 0) {
        return;
    }
    const std::int64_t grown = m_reserve + intervals;
    m_reserve = static_cast<std::uint32_t>(std::min<std::int64_t>(m_limits.reserveRetries, grown));
    m_reserveRefilled = m_reserveRefilled + m_limits.reserveRefillInterval * intervals;
}

} // namespace lavendertally::retry
