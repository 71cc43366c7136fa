#include "retry/ihedgepolicy.h"
#include "retry/retrymodule.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::retry;
using framework::Milliseconds;
using framework::TimePoint;

namespace {

const TimePoint Start(100000);

HedgeQuery query(bool idempotent, Milliseconds budget)
{
    HedgeQuery result;
    result.service = framework::ServiceId("encoder");
    result.pipeline = framework::PipelineId("feed-plan");
    result.stage = framework::StageId("encode");
    result.idempotent = idempotent;
    result.budget = budget;
    return result;
}

std::unique_ptr<IHedgePolicy> policyAfter(int firstAttempts)
{
    auto policy = RetryModule::makeHedgePolicy();
    const HedgeQuery hedgeable = query(true, Milliseconds(1000));
    for (int call = 0; call < firstAttempts; ++call) {
        policy->recordFirstAttempt(hedgeable.service, Start);
        const Milliseconds latency(call % 10 == 0 ? 400 : 50);
        policy->observe(hedgeable.pipeline, hedgeable.stage, latency, Start);
    }
    return policy;
}

} // namespace

TEST(HedgePolicy, LatenciesObserved_DelayIsTheirHighPercentile)
{
    const auto policy = policyAfter(100);
    const auto delay = policy->hedgeDelay(query(true, Milliseconds(1000)), Start);
    ASSERT_TRUE(delay);
    EXPECT_GE(*delay, Milliseconds(300));
    EXPECT_LE(*delay, Milliseconds(400));
    EXPECT_FALSE(policy->hedgeDelay(query(true, Milliseconds(200)), Start));
    EXPECT_FALSE(policyAfter(0)->hedgeDelay(query(true, Milliseconds(1000)), Start));
}

TEST(HedgePolicy, StageNotIdempotent_IsNeverHedged)
{
    const auto policy = policyAfter(100);
    EXPECT_FALSE(policy->hedgeDelay(query(false, Milliseconds(1000)), Start));
    EXPECT_FALSE(policy->tryAcquireHedge(query(false, Milliseconds(1000)), Start));
}

TEST(HedgePolicy, BudgetUsedUp_HedgesStayWithinRatioOfFirstAttempts)
{
    const auto policy = policyAfter(200);
    int hedges = 0;
    while (hedges < 100 && policy->tryAcquireHedge(query(true, Milliseconds(1000)), Start)) {
        ++hedges;
    }
    EXPECT_EQ(hedges, 4);
}
