#include "configuration/types/pipeline.h"
#include "framework/frameworkmodule.h"
#include "framework/irandom.h"
#include "retry/iretrypolicy.h"
#include "retry/istagebudget.h"
#include "retry/retrymodule.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::retry;
using framework::Milliseconds;
using framework::TimePoint;

namespace {

const framework::ServiceId Service("encoder");
const TimePoint Start(100000);

RetryQuery query(FailureKind failure, bool idempotent, Milliseconds budget)
{
    RetryQuery result;
    result.service = Service;
    result.failure = failure;
    result.idempotent = idempotent;
    result.priority = configuration::PriorityClass::Interactive;
    result.budget = budget;
    return result;
}

configuration::Pipeline pipeline(int stages)
{
    configuration::Pipeline result;
    result.id = framework::PipelineId("feed-plan");
    for (int stage = 0; stage < stages; ++stage) {
        result.stages.emplace_back().id = framework::StageId("s" + std::to_string(stage));
    }
    return result;
}

struct SafetyCase
{
    const char *name;
    FailureKind failure;
    bool idempotent;
    Milliseconds budget;
    bool retried;
};

const std::vector<SafetyCase> SafetyCases = {
    {"NotRunIdempotent", FailureKind::NotRun, true, Milliseconds(1000), true},
    {"NotRunNotIdempotent", FailureKind::NotRun, false, Milliseconds(1000), true},
    {"UnknownIdempotent", FailureKind::Unknown, true, Milliseconds(1000), true},
    {"UnknownNotIdempotent", FailureKind::Unknown, false, Milliseconds(1000), false},
    {"NoTimeLeft", FailureKind::NotRun, true, Milliseconds(0), false},
    {"DeadlinePassed", FailureKind::NotRun, true, Milliseconds(-5), false},
};

class RetrySafety : public testing::TestWithParam<SafetyCase>
{ };

} // namespace

TEST_P(RetrySafety, FailedAttempt_IsRetriedOnlyIfSafeAndInTime)
{
    const SafetyCase &param = GetParam();
    const auto random = framework::FrameworkModule::makeRandom(1);
    const RetryQuery failed = query(param.failure, param.idempotent, param.budget);
    const auto budgeted = RetryModule::makeBudgetedRetryPolicy(*random);
    EXPECT_EQ(budgeted->decide(failed, Start).retry, param.retried);
    EXPECT_EQ(RetryModule::makeUnlimitedRetryPolicy()->decide(failed, Start).retry, param.retried);
}

INSTANTIATE_TEST_SUITE_P(Faults, RetrySafety, testing::ValuesIn(SafetyCases),
                         [](const auto &info) { return info.param.name; });

TEST(RetryPolicy, RandomSchedule_RetriesStayWithinRatioPlusReserve)
{
    const RetryLimits limits;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        const auto random = framework::FrameworkModule::makeRandom(seed);
        const auto policy = RetryModule::makeBudgetedRetryPolicy(*random, limits);
        const std::uint64_t failPercent = random->below(101);
        TimePoint now = Start;
        std::int64_t firstAttempts = 0;
        std::int64_t retries = 0;
        for (int step = 0; step < 200; ++step) {
            now = now + Milliseconds(static_cast<std::int64_t>(random->below(100)));
            if (random->below(100) >= failPercent) {
                policy->recordFirstAttempt(Service, now);
                ++firstAttempts;
            }
            const Milliseconds budget(static_cast<std::int64_t>(random->below(2000)));
            const RetryDecision decision =
                policy->decide(query(FailureKind::NotRun, true, budget), now);
            retries += decision.retry ? 1 : 0;
            ASSERT_TRUE(!decision.retry || decision.backoff < budget);
            const std::int64_t refilled =
                (now - Start).value() / limits.reserveRefillInterval.value() + 1;
            const std::int64_t reserve = limits.reserveRetries + refilled;
            ASSERT_LE(retries, firstAttempts * limits.maxRatio.value() / 1000 + reserve);
        }
    }
}

TEST(RetryPolicy, ManyAttemptsWithoutRetry_SavedRetriesStayWithinCapacity)
{
    const auto random = framework::FrameworkModule::makeRandom(1);
    const RetryLimits limits;
    const auto policy = RetryModule::makeBudgetedRetryPolicy(*random, limits);
    for (int call = 0; call < 100000; ++call) {
        policy->recordFirstAttempt(Service, Start);
    }
    std::uint32_t retries = 0;
    while (retries < 1000
           && policy->decide(query(FailureKind::NotRun, true, Milliseconds(1000)), Start).retry) {
        ++retries;
    }
    EXPECT_EQ(retries, limits.bucketCapacity + limits.reserveRetries);
}

TEST(RetryPolicy, LowPriorityUsesUpItsRetries_HigherPrioritiesStillRetry)
{
    using configuration::PriorityClass;
    const auto random = framework::FrameworkModule::makeRandom(1);
    const RetryLimits limits;
    const auto policy = RetryModule::makeBudgetedRetryPolicy(*random, limits);
    for (int call = 0; call < 1000; ++call) {
        policy->recordFirstAttempt(Service, Start);
    }
    const auto retryUntilDenied = [&policy](PriorityClass priority) {
        RetryQuery failed = query(FailureKind::NotRun, true, Milliseconds(1000));
        failed.priority = priority;
        std::uint32_t retries = 0;
        while (retries < 1000 && policy->decide(failed, Start).retry) {
            ++retries;
        }
        return retries;
    };
    EXPECT_EQ(retryUntilDenied(PriorityClass::Background),
              limits.bucketCapacity / 2 + limits.reserveRetries);
    EXPECT_EQ(retryUntilDenied(PriorityClass::Standard), limits.bucketCapacity / 4);
    EXPECT_EQ(retryUntilDenied(PriorityClass::Interactive), limits.bucketCapacity / 4);
}

TEST(RetryPolicy, MaxAttemptsReached_StageIsNotRetried)
{
    const auto random = framework::FrameworkModule::makeRandom(1);
    const auto policy = RetryModule::makeBudgetedRetryPolicy(*random);
    RetryQuery last = query(FailureKind::NotRun, true, Milliseconds(1000));
    last.attempts = RetryLimits().maxAttempts;
    EXPECT_FALSE(policy->decide(last, Start).retry);
}

TEST(StageBudget, LaterStageMeasured_ItsMedianDurationIsReserved)
{
    const auto budget = RetryModule::makeStageBudget();
    const auto stages = pipeline(2);
    EXPECT_EQ(budget->budgetFor(stages, 0, Milliseconds(1000), Start), Milliseconds(1000));
    for (int call = 0; call < 100; ++call) {
        budget->observe(stages.id, stages.stages[1].id, Milliseconds(400), Start);
    }
    const Milliseconds first = budget->budgetFor(stages, 0, Milliseconds(1000), Start);
    EXPECT_GE(first, Milliseconds(600));
    EXPECT_LE(first, Milliseconds(680));
    EXPECT_EQ(budget->budgetFor(stages, 1, Milliseconds(500), Start), Milliseconds(500));
}

TEST(StageBudget, EvenFastRunIsTooLate_BudgetIsZeroUntilMeasurementsExpire)
{
    const auto budget = RetryModule::makeStageBudget();
    const auto stages = pipeline(2);
    for (const auto &stage : stages.stages) {
        for (int call = 0; call < 100; ++call) {
            budget->observe(stages.id, stage.id, Milliseconds(400), Start);
        }
    }
    EXPECT_EQ(budget->budgetFor(stages, 0, Milliseconds(600), Start), Milliseconds(0));
    EXPECT_GT(budget->budgetFor(stages, 0, Milliseconds(900), Start), Milliseconds(0));
    EXPECT_EQ(budget->budgetFor(stages, 1, Milliseconds(0), Start), Milliseconds(0));
    const TimePoint later = Start + Milliseconds(11000);
    EXPECT_EQ(budget->budgetFor(stages, 0, Milliseconds(600), later), Milliseconds(600));
}

TEST(RetryBudgetLimits, CapacityIsLowered_SavedRetriesAboveItAreLost)
{
    const auto random = framework::FrameworkModule::makeRandom(1);
    RetryLimits limits;
    limits.reserveRetries = 0;
    limits.bucketCapacity = 10;
    limits.standardHeadroomPercent = 0;
    const auto policy = RetryModule::makeBudgetedRetryPolicy(*random, limits);
    const framework::ServiceId service("s");
    const framework::TimePoint now(1000);
    for (int call = 0; call < 200; ++call) {
        policy->recordFirstAttempt(service, now);
    }
    limits.bucketCapacity = 2;
    policy->setLimits(limits);
    RetryQuery query;
    query.service = service;
    query.budget = framework::Milliseconds(1000);
    int retries = 0;
    while (policy->decide(query, now).retry) {
        ++retries;
    }
    EXPECT_EQ(retries, 2);
}
