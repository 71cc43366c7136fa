#pragma once

#include "framework/types/timepoint.h"
#include "retry/types/retrylimits.h"

#include <cstdint>

namespace lavendertally::retry {

/// Token bucket that fresh calls fill and retries empty, with a small reserve that grows back with
/// time, for services with hardly any calls. In any span of time the retries stay within the ratio
/// of the fresh calls plus what was saved and the reserve. After the retry budgets in Beyer et al.,
/// Site Reliability Engineering (2016), chapter 21, and in Twitter's Finagle.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryLimits &limits);

    /// Retries saved up beyond the new limits are lost.
    void setLimits(const RetryLimits &limits);

    void recordFirstAttempt();

    /// \param leave saved retries that must remain for others; the reserve is for all
    /// \return whether one retry was paid for
    bool spend(std::uint32_t leave, framework::TimePoint now);

private:
    void refillReserve(framework::TimePoint now);

    RetryLimits m_limits;
    /// In thousandths of a retry.
    std::int64_t m_saved = 0;
    std::uint32_t m_reserve;
    framework::TimePoint m_reserveRefilled;
};

} // namespace lavendertally::retry
