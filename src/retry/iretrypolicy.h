#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "retry/types/retrydecision.h"
#include "retry/types/retrylimits.h"
#include "retry/types/retryquery.h"

namespace lavendertally::retry {

/// Decides whether a failed stage is tried again. Retries spend from a budget that fresh work
/// fills.
class IRetryPolicy
{
public:
    virtual ~IRetryPolicy() = default;

    /// A first attempt was sent to \p service.
    virtual void recordFirstAttempt(const framework::ServiceId &service,
                                    framework::TimePoint now) = 0;

    /// Bounds retries from now on, also those that were saved up.
    virtual void setLimits(const RetryLimits &limits) = 0;

    virtual RetryDecision decide(const RetryQuery &query, framework::TimePoint now) = 0;
};

} // namespace lavendertally::retry
