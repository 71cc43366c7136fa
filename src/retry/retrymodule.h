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

/// Makes retry policies and stage budgets.
class RetryModule
{
public:
    /// \return a policy that retries whatever failed and is idempotent, at once, while time is left
    static std::unique_ptr<IRetryPolicy> makeUnlimitedRetryPolicy();

    /// \return a policy that spends from a budget filled by fresh calls
    static std::unique_ptr<IRetryPolicy> makeBudgetedRetryPolicy(framework::IRandom &random,
                                                                 const RetryLimits &limits = {});

    /// \return a policy that sends second attempts after a high percentile of the usual latency
    static std::unique_ptr<IHedgePolicy> makeHedgePolicy(const HedgeLimits &limits = {});

    /// \return a split that gives all remaining time to each stage
    static std::unique_ptr<IStageBudget> makeUndividedStageBudget();

    /// \return a split that keeps back the measured times of the later stages
    static std::unique_ptr<IStageBudget> makeStageBudget();
};

} // namespace lavendertally::retry
