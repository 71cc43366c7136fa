#include "retry/retrymodule.h"

#include "retry/internal/budgetedretrypolicy.h"
#include "retry/internal/measuredstagebudget.h"
#include "retry/internal/percentilehedgepolicy.h"
#include "retry/internal/undividedstagebudget.h"
#include "retry/internal/unlimitedretrypolicy.h"

namespace lavendertally::retry {

std::unique_ptr<IRetryPolicy> RetryModule::makeUnlimitedRetryPolicy()
{
    return std::make_unique<UnlimitedRetryPolicy>();
}

std::unique_ptr<IRetryPolicy> RetryModule::makeBudgetedRetryPolicy(framework::IRandom &random,
                                                                   const RetryLimits &limits)
{
    return std::make_unique<BudgetedRetryPolicy>(random, limits);
}

std::unique_ptr<IHedgePolicy> RetryModule::makeHedgePolicy(const HedgeLimits &limits)
{
    return std::make_unique<PercentileHedgePolicy>(limits);
}

std::unique_ptr<IStageBudget> RetryModule::makeUndividedStageBudget()
{
    return std::make_unique<UndividedStageBudget>();
}

std::unique_ptr<IStageBudget> RetryModule::makeStageBudget()
{
    return std::make_unique<MeasuredStageBudget>();
}

} // namespace lavendertally::retry
