#include "retry/internal/unlimitedretrypolicy.h"

#include "retry/internal/retryrules.h"

namespace lavendertally::retry {

void UnlimitedRetryPolicy::recordFirstAttempt(const framework::ServiceId & /*service*/,
                                              framework::TimePoint /*now*/)
{ }

RetryDecision UnlimitedRetryPolicy::decide(const RetryQuery &query, framework::TimePoint /*now*/)
{
    const bool timeLeft = query.budget > framework::Milliseconds(0);
    return {.retry = timeLeft && isSafeToRetry(query), .backoff = {}};
}

} // namespace lavendertally::retry
