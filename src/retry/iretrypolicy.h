#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "retry/types/retrydecision.h"
#include "retry/types/retrylimits.h"
#include "retry/types/retryquery.h"

namespace lavendertally::retry {

/// Decides whether a failed stage is retried, usually within a retry budget that first attempts
/// fill.
class IRetryPolicy
{
public:
    virtual ~IRetryPolicy() = default;

    /// Reports that a first attempt was sent to \p service; it adds to the retry budget.
    virtual void recordFirstAttempt(const framework::ServiceId &service,
                                    framework::TimePoint now) = 0;

    /// Replaces the limits. A budget above the new limits is cut down to them.
    virtual void setLimits(const RetryLimits &limits) = 0;

    /// Takes the retry from the budget if it is allowed.
    /// \param query the failed attempt
    /// \return whether it is retried, and after which backoff
    virtual RetryDecision decide(const RetryQuery &query, framework::TimePoint now) = 0;
};

} // namespace lavendertally::retry
