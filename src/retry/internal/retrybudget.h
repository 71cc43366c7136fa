#pragma once

#include "framework/types/timepoint.h"
#include "retry/types/retrylimits.h"

#include <cstdint>

namespace lavendertally::retry {

/// Token bucket that first attempts fill and retries empty, with a small reserve that refills over
/// time, for services with few calls. In any period the retries stay within the ratio of the first
/// attempts plus the balance at its start and the reserve. Modelled on the retry budgets in Beyer
/// et al., Site Reliability Engineering (2016), chapter 21, and in Twitter's Finagle.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryLimits &limits);

    /// Replaces the limits; a balance or reserve above them is cut down.
    void setLimits(const RetryLimits &limits);

    /// Adds what one first attempt contributes.
    void deposit();

    /// Takes one retry from the balance, or else from the reserve.
    /// \param headroom retries that must remain in the balance for higher priorities; the reserve
    /// is open to all priorities
    /// \return whether a retry was available
    bool tryWithdraw(std::uint32_t headroom, framework::TimePoint now);

private:
    void refillReserve(framework::TimePoint now);

    RetryLimits m_limits;
    /// In thousandths of a retry.
    std::int64_t m_balance = 0;
    std::uint32_t m_reserve;
    framework::TimePoint m_reserveRefilledAt;
};

} // namespace lavendertally::retry
