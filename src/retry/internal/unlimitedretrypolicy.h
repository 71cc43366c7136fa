#pragma once

#include "retry/iretrypolicy.h"

namespace lavendertally::retry {

/// Retries at once while time is left; the baseline that other policies are compared with. It keeps
/// the rule that a stage that is not idempotent never runs twice.
class UnlimitedRetryPolicy final : public IRetryPolicy
{
public:
    void recordFirstAttempt(const framework::ServiceId &service, framework::TimePoint now) override;
    void setLimits(const RetryLimits & /*limits*/) override { }
    RetryDecision decide(const RetryQuery &query, framework::TimePoint now) override;
};

} // namespace lavendertally::retry
