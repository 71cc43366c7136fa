#pragma once

#include "retry/types/hedgelimits.h"
#include "retry/types/retrylimits.h"

#include <memory>

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::retry {

class IHedgePolicy;
class IRetryPolicy;
class IStageBudget;

/// Factory of retry policies, hedge policies and stage budgets.
class RetryModule
{
public:
    /// \return a policy that retries at once whatever is safe to retry, while time is left
    static std::unique_ptr<IRetryPolicy> makeUnlimitedRetryPolicy();

    /// \return a policy that takes each retry from a budget filled by first attempts
    static std::unique_ptr<IRetryPolicy> makeBudgetedRetryPolicy(framework::IRandom &random,
                                                                 const RetryLimits &limits = {});

    /// \return a policy that hedges after a high percentile of the stage's recent latencies
    static std::unique_ptr<IHedgePolicy> makeHedgePolicy(const HedgeLimits &limits = {});

    /// \return a budget that gives each stage all the remaining time
    static std::unique_ptr<IStageBudget> makeUndividedStageBudget();

    /// \return a budget that reserves the measured durations of the later stages
    static std::unique_ptr<IStageBudget> makeStageBudget();
};

} // namespace lavendertally::retry
