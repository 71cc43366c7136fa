#pragma once

#include "retry/iretrypolicy.h"

namespace lavendertally::retry {

/// Retries at once while time is left; the baseline for comparisons with other policies. Like them
/// it never runs a stage twice that is not idempotent.
class UnlimitedRetryPolicy final : public IRetryPolicy
{
public:
    void recordFirstAttempt(const framework::ServiceId &service, framework::TimePoint now) override;
    void setLimits(const RetryLimits & /*limits*/) override { }
    RetryDecision decide(const RetryQuery &query, framework::TimePoint now) override;
};

} // namespace lavendertally::retry
