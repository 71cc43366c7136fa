#include "routing/internal/outputestimator.h"
#include "routing/types/requestwork.h"

#include <gtest/gtest.h>

#include <random>

using namespace lavendertally;
using namespace lavendertally::routing;

namespace {

RequestWork makeWork(std::int64_t limit, std::optional<framework::TokenCount> hint = {},
                     const char *team = "t")
{
    RequestWork work;
    work.route = framework::RouteId("r");
    work.team = framework::TeamId(team);
    work.promptTokens = framework::TokenCount(1000);
    work.maxOutputTokens = framework::TokenCount(limit);
    work.lengthHint = hint;
    return work;
}

} // namespace

TEST(OutputEstimatorTest, NothingLearned_LimitBoundsTheEstimate)
{
    const OutputEstimator estimator;
    EXPECT_LE(estimator.estimate(makeWork(40)), 40.0);
    EXPECT_GE(estimator.estimate(makeWork(0)), 1.0);
}

/// A team with short answers must not be taken for an average one.
TEST(OutputEstimatorTest, TeamDiffersFromItsRoute_ItsOwnLengthIsUsed)
{
    OutputEstimator estimator;
    for (int sample = 0; sample < 50; ++sample) {
        estimator.observe(makeWork(1200, {}, "long"), 1000.0);
        estimator.observe(makeWork(1200, {}, "short"), 50.0);
    }
    EXPECT_NEAR(estimator.estimate(makeWork(1200, {}, "short")), 50.0, 5.0);
    EXPECT_NEAR(estimator.estimate(makeWork(1200, {}, "long")), 1000.0, 50.0);
}

/// Clients' hints are right at the median but may be far off: one that is noise must not replace
/// what was learned, and one that is good must be followed.
TEST(OutputEstimatorTest, Hint_CountsByHowGoodItHasBeen)
{
    std::mt19937_64 engine(5);
    std::lognormal_distribution<double> noise(0.0, 2.0);
    OutputEstimator noisy;
    OutputEstimator exact;
    for (int sample = 0; sample < 300; ++sample) {
        const double length = 100.0 + 600.0 * (sample % 2);
        const auto guess = static_cast<std::int64_t>(300.0 * noise(engine)) + 1;
        noisy.observe(makeWork(1200, framework::TokenCount(guess)), 300.0);
        exact.observe(makeWork(1200, framework::TokenCount(std::int64_t(length))), length);
    }
    EXPECT_NEAR(noisy.estimate(makeWork(1200, framework::TokenCount(1000))), 300.0, 60.0);
    EXPECT_NEAR(exact.estimate(makeWork(1200, framework::TokenCount(100))), 100.0, 20.0);
    EXPECT_NEAR(exact.estimate(makeWork(1200, framework::TokenCount(700))), 700.0, 140.0);
}
